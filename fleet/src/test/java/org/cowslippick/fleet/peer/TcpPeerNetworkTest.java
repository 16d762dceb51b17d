package org.cowslippick.fleet.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.timeline.EventKind;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.wire.ClusterKeys;
import org.cowslippick.fleet.wire.FrameCodec;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
final class TcpPeerNetworkTest {

    private record Note(String text) implements PeerMessage {}

    private static final MessageType<Note> NOTE = new MessageType<>(
            100,
            Note.class,
            Priority.ESSENTIAL,
            (note, writer) -> writer.writeString(note.text()),
            reader -> new Note(reader.readString()));
    private static final InstanceName A = new InstanceName("a");
    private static final InstanceName B = new InstanceName("b");
    private static final ClusterKeys OLD = ClusterKeys.of(ImmutableMap.of("old", "secret-1"));
    private static final ClusterKeys BOTH = ClusterKeys.of(ImmutableMap.of("new", "secret-2", "old", "secret-1"));
    private static final ClusterKeys NEW = ClusterKeys.of(ImmutableMap.of("new", "secret-2"));
    private static final ClusterKeys WRONG = ClusterKeys.of(ImmutableMap.of("old", "another"));

    private final ManualTimerService timer = new ManualTimerService();
    private final Map<InstanceName, HostAndPort> addresses = new ConcurrentHashMap<>();
    private final AtomicReference<ClusterKeys> keysOfA = new AtomicReference<>(OLD);
    private final Timeline timelineOfA = new Timeline(A, timer, 10);
    private final Timeline timelineOfB = new Timeline(B, timer, 10);
    private final TcpPeerNetwork a = network(A, timelineOfA);
    private final TcpPeerNetwork b = network(B, timelineOfB);
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private final HostAndPort addressOfB = b.listen(HostAndPort.fromParts("127.0.0.1", 0));

    TcpPeerNetworkTest() {
        addresses.put(B, addressOfB);
        b.subscribe(Note.class, (sender, note) -> received.add(sender.name() + ":" + note.text()));
    }

    private TcpPeerNetwork network(InstanceName name, Timeline timeline) {
        return new TcpPeerNetwork(
                timer,
                timeline,
                peer -> Optional.ofNullable(addresses.get(peer)),
                () -> new PeerIdentity(name, new Incarnation(1), new Region("north")),
                name.equals(A) ? keysOfA::get : () -> OLD,
                ImmutableSet.of(NOTE));
    }

    @AfterEach
    void close() {
        a.close();
        b.close();
    }

    @Test
    void deliversInOrderWithTheSendersNameAndLogicalTime() throws InterruptedException {
        timelineOfA.record(EventKind.ENTRY_JOINED, "first");
        timelineOfA.record(EventKind.ENTRY_JOINED, "second");
        assertEquals(SendResult.QUEUED, a.send(B, new Note("1")));
        assertEquals(SendResult.QUEUED, a.send(B, new Note("2")));
        assertEquals("a:1", received.take());
        assertEquals("a:2", received.take());
        assertEquals(2, timelineOfB.logicalTime());
    }

    @Test
    void connectsOnlyWithASharedKeyAndKeysCanRotate() {
        assertTrue(a.probe(B).join());
        keysOfA.set(BOTH);
        assertTrue(a.probe(B).join());
        keysOfA.set(NEW);
        assertFalse(a.probe(B).join());
        keysOfA.set(WRONG);
        assertFalse(a.probe(B).join());
    }

    @Test
    void rejectsAnotherInstanceAtTheAddress() {
        InstanceName other = new InstanceName("c");
        addresses.put(other, addressOfB);
        assertFalse(a.probe(other).join());
    }

    @Test
    void closesOnlyTheConnectionThatViolatedTheProtocol() throws IOException, InterruptedException {
        a.send(B, new Note("before"));
        assertEquals("a:before", received.take());
        assertEquals(-1, firstByteAfter(new byte[] {0, 0, 0, 3, 1, 2, 3}));
        assertEquals(-1, firstByteAfter(new byte[] {(byte) 0x7f, 0, 0, 0}));
        assertEquals(-1, firstByteAfter(new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff}));
        a.send(B, new Note("after"));
        assertEquals("a:after", received.take());
    }

    @Test
    void notifiesOfUnreachablePeersAndBacksOff() throws InterruptedException {
        BlockingQueue<InstanceName> lost = new LinkedBlockingQueue<>();
        InstanceName unknown = new InstanceName("nowhere");
        a.addListener(listener(lost, new LinkedBlockingQueue<>()));
        a.send(unknown, new Note("1"));
        assertEquals(unknown, lost.take());
        assertEquals(SendResult.UNREACHABLE, a.send(unknown, new Note("2")));
        timer.advance(Duration.ofSeconds(5));
        assertEquals(SendResult.QUEUED, a.send(unknown, new Note("3")));
        assertEquals(unknown, lost.take());
    }

    @Test
    void endsBackoffWhenThePeerSendsAMessage() throws InterruptedException {
        BlockingQueue<InstanceName> lost = new LinkedBlockingQueue<>();
        b.addListener(listener(lost, new LinkedBlockingQueue<>()));
        b.send(A, new Note("lost"));
        assertEquals(A, lost.take());
        assertEquals(SendResult.UNREACHABLE, b.send(A, new Note("lost as well")));
        addresses.put(A, a.listen(HostAndPort.fromParts("127.0.0.1", 0)));
        a.send(B, new Note("here"));
        assertEquals("a:here", received.take());
        assertEquals(SendResult.QUEUED, b.send(A, new Note("found")));
    }

    @Test
    void replacesASilentConnection() throws IOException, InterruptedException {
        try (SilencingProxy proxy = new SilencingProxy(addressOfB.getPort())) {
            addresses.put(B, proxy.address());
            BlockingQueue<InstanceName> connected = new LinkedBlockingQueue<>();
            BlockingQueue<InstanceName> lost = new LinkedBlockingQueue<>();
            a.addListener(listener(lost, connected));
            a.send(B, new Note("1"));
            assertEquals("a:1", received.take());
            assertEquals(B, connected.take());
            proxy.silenceOpenConnections();
            timer.advance(OutboundConnection.SILENCE_TIMEOUT.plusSeconds(1));
            assertEquals(B, lost.take());
            assertEquals(B, connected.take());
            a.send(B, new Note("2"));
            assertEquals("a:2", received.take());
        }
    }

    @Test
    void rejectsOversizedMessagesAtTheSender() throws InterruptedException {
        String large = "x".repeat(FrameCodec.MAXIMUM_FRAME_BYTES);
        assertThrows(IllegalArgumentException.class, () -> a.send(B, new Note(large)));
        a.send(B, new Note("small"));
        assertEquals("a:small", received.take());
    }

    private int firstByteAfter(byte[] bytes) throws IOException {
        try (Socket socket = new Socket(addressOfB.getHost(), addressOfB.getPort())) {
            socket.getOutputStream().write(ByteBuffer.wrap(bytes).array());
            return socket.getInputStream().read();
        }
    }

    private static PeerListener listener(BlockingQueue<InstanceName> lost, BlockingQueue<InstanceName> connected) {
        return new PeerListener() {
            @Override
            public void connected(InstanceName peer) {
                connected.add(peer);
            }

            @Override
            public void disconnected(InstanceName peer) {
                lost.add(peer);
            }
        };
    }
}
