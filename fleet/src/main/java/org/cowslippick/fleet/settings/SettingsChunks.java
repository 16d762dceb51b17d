package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cowslippick.core.settings.SettingsDocument;
import org.cowslippick.core.settings.SettingsFault;
import org.cowslippick.core.settings.SettingsSection;

/** Splits a document into chunks named by a hash of their content, so that a small change rewrites one small chunk. */
final class SettingsChunks {

    private static final int AVERAGE_CHUNK_CHARACTERS = 32 << 10;
    private static final int NAME_CHARACTERS = 40;

    private SettingsChunks() {}

    /**
     * Returns the chunks by name. Their number is a power of two, so that sections rarely move as the document grows.
     */
    static ImmutableMap<String, String> split(SettingsDocument document) {
        ImmutableList<SettingsSection> sections =
                ImmutableList.copyOf(document.sections().values());
        long size = sections.stream()
                .mapToLong(section -> SettingsDocument.toIni(section).length())
                .sum();
        int count = Integer.highestOneBit((int) (2 * (size / AVERAGE_CHUNK_CHARACTERS) + 1));
        Map<Integer, String> texts = sections.stream()
                .collect(Collectors.groupingBy(
                        section -> bucket(section, count),
                        TreeMap::new,
                        Collectors.mapping(SettingsDocument::toIni, Collectors.joining())));
        return texts.values().stream().collect(ImmutableMap.toImmutableMap(SettingsChunks::name, text -> text));
    }

    /** Parses the document that the chunks make up. */
    static Either<ImmutableList<SettingsFault>, SettingsDocument> join(ImmutableList<String> texts) {
        return SettingsDocument.parse(String.join("\n", texts));
    }

    static String name(String text) {
        return Hashing.sha256()
                .hashString(text, StandardCharsets.UTF_8)
                .toString()
                .substring(0, NAME_CHARACTERS);
    }

    private static int bucket(SettingsSection section, int count) {
        return Hashing.murmur3_32_fixed()
                        .hashString(section.name().toString(), StandardCharsets.UTF_8)
                        .asInt()
                & (count - 1);
    }
}
