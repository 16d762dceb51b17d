package org.cowslippick.core.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.settings.EntrySettingKey;
import org.cowslippick.core.settings.SectionKind;
import org.cowslippick.core.settings.SettingKey;
import org.junit.jupiter.api.Test;

/** Checks that the tables in the documentation match the enums that they describe. */
final class DocumentationTest {

    private static final Path DOCS = Path.of("..", "docs");

    @Test
    void errorsPageListsEveryErrorKind() throws IOException {
        assertEquals(
                Arrays.stream(ErrorKind.values()).map(DocumentationTest::row).collect(ImmutableList.toImmutableList()),
                rows("ERRORS.md", "## Kinds"));
    }

    @Test
    void settingsPageListsEveryTreeKey() throws IOException {
        assertEquals(
                Arrays.stream(SettingKey.values()).map(DocumentationTest::row).collect(ImmutableList.toImmutableList()),
                rows("SETTINGS.md", "## Keys of the tree"));
    }

    @Test
    void settingsPageListsEveryEntryKey() throws IOException {
        assertEquals(
                Arrays.stream(EntrySettingKey.values())
                        .map(DocumentationTest::row)
                        .collect(ImmutableList.toImmutableList()),
                rows("SETTINGS.md", "## Settings file of an entry"));
    }

    @Test
    void settingsPageListsEverySectionKind() throws IOException {
        assertEquals(
                Arrays.stream(SectionKind.values())
                        .map(DocumentationTest::header)
                        .collect(ImmutableList.toImmutableList()),
                rows("SETTINGS.md", "## Sections of the tree").stream()
                        .map(row ->
                                Splitter.on('|').trimResults().splitToList(row).get(1))
                        .collect(ImmutableList.toImmutableList()));
    }

    private static String row(ErrorKind kind) {
        return row(
                "`" + kind.text() + "`",
                String.valueOf(kind.httpStatus()),
                kind.outcome().text(),
                kind.meaning(),
                kind.advice().text());
    }

    private static String row(SettingKey key) {
        boolean required = Arrays.stream(SectionKind.values()).anyMatch(key::isRequiredIn);
        boolean everywhere = Arrays.stream(SectionKind.values())
                .allMatch(kind -> key.isAllowedIn(kind) == SettingKey.DEADLINE.isAllowedIn(kind));
        String sections = everywhere
                ? "all that inherit"
                : Arrays.stream(SectionKind.values())
                        .filter(key::isAllowedIn)
                        .map(DocumentationTest::header)
                        .collect(Collectors.joining(", "));
        return row("`" + key.text() + "`", sections, key.type().expectation(), required ? "yes" : "no");
    }

    private static String row(EntrySettingKey key) {
        return row(
                "`[" + key.section() + "]`",
                "`" + key.text() + "`",
                key.type().expectation(),
                key.isRequired() ? "required" : key.defaultValue().orElse("optional"));
    }

    private static String row(String... cells) {
        return "| " + String.join(" | ", cells) + " |";
    }

    private static String header(SectionKind kind) {
        return kind.nameCount() == 0
                ? "`[" + kind.keywords().get(0) + "]`"
                : kind.keywords().stream()
                        .map(keyword -> keyword + " NAME")
                        .collect(Collectors.joining(" ", "`[", "]`"));
    }

    /** Returns the rows of the first table after a heading, without its header. */
    private static ImmutableList<String> rows(String page, String heading) throws IOException {
        return Files.readAllLines(DOCS.resolve(page)).stream()
                .dropWhile(line -> !line.equals(heading))
                .dropWhile(line -> !line.startsWith("| ---"))
                .skip(1)
                .takeWhile(line -> line.startsWith("|"))
                .collect(ImmutableList.toImmutableList());
    }
}
