package org.cowslippick.fleet.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

final class FrameCodecTest {

    private record Sample(String text, long number, ImmutableList<Long> numbers) implements PeerMessage {}

    private static final FrameCodec CODEC = new FrameCodec(new MessageTypes(ImmutableSet.of(sampleType(1))));
    private static final FrameCodec NEWER = new FrameCodec(new MessageTypes(ImmutableSet.of(sampleType(2))));
    private static final FrameCodec SKIPPABLE =
            new FrameCodec(new MessageTypes(ImmutableSet.of(sampleType(MessageType.FIRST_SKIPPABLE_NUMBER))));

    private static MessageType<Sample> sampleType(int number) {
        return new MessageType<>(
                number,
                Sample.class,
                Priority.ESSENTIAL,
                (sample, writer) -> {
                    writer.writeString(sample.text());
                    writer.writeLong(sample.number());
                    writer.writeList(sample.numbers(), (element, elements) -> elements.writeLong(element));
                },
                reader -> new Sample(reader.readString(), reader.readLong(), reader.readList(MessageReader::readLong)));
    }

    private static Envelope envelope(String text, long number) {
        return new Envelope(7, new Sample(text, number, ImmutableList.of(number, 1L)));
    }

    @Property(seed = "1", tries = 200)
    void decodesEncodedMessages(@ForAll String text, @ForAll long number) {
        assertEquals(Optional.of(envelope(text, number)), CODEC.decode(CODEC.encode(envelope(text, number))));
    }

    @Property(seed = "1", tries = 300)
    void rejectsTruncatedFrames(@ForAll long number, @ForAll @IntRange(min = 0, max = 1000) int length) {
        byte[] frame = CODEC.encode(envelope("text", number));
        byte[] truncated = Arrays.copyOf(frame, length % frame.length);
        assertThrows(MalformedFrameException.class, () -> CODEC.decode(truncated));
    }

    @Property(seed = "1", tries = 5000)
    void decodesOrRejectsFuzzedFrames(@ForAll @Size(max = 64) byte[] frame) {
        try {
            CODEC.decode(frame)
                    .ifPresent(envelope -> assertArrayEquals(
                            CODEC.encode(envelope),
                            CODEC.encode(CODEC.decode(CODEC.encode(envelope)).orElseThrow())));
        } catch (MalformedFrameException expected) {
            assertEquals(MalformedFrameException.class, expected.getClass());
        }
    }

    @Property(seed = "1", tries = 2000)
    void decodesOrRejectsCorruptedFrames(
            @ForAll long number, @ForAll @IntRange(min = 0, max = 1000) int position, @ForAll byte value) {
        byte[] frame = CODEC.encode(envelope("some text", number));
        frame[position % frame.length] = value;
        decodesOrRejectsFuzzedFrames(frame);
    }

    @Test
    void skipsUnknownTypesOnlyInTheSkippableRange() {
        assertThrows(MalformedFrameException.class, () -> CODEC.decode(NEWER.encode(envelope("text", 1))));
        assertEquals(Optional.empty(), CODEC.decode(SKIPPABLE.encode(envelope("text", 1))));
    }

    @Test
    void rejectsTrailingBytesAndOversizedMessages() {
        byte[] frame = CODEC.encode(envelope("text", 1));
        assertThrows(MalformedFrameException.class, () -> CODEC.decode(Arrays.copyOf(frame, frame.length + 1)));
        String large = "x".repeat(FrameCodec.MAXIMUM_FRAME_BYTES);
        assertThrows(IllegalArgumentException.class, () -> CODEC.encode(envelope(large, 1)));
    }
}
