package org.cowslippick.core.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;

final class IniReaderTest {

    @Test
    void doesNotInterpretCommentCharactersOrBackslashesInValues() {
        IniSection section =
                IniReader.read("[a]\nx = 1=2 ; # \\\ny=\nz : 3\n").get().get(0);
        assertEquals(
                ImmutableList.of(
                        new IniEntry("x", "1=2 ; # \\", 2), new IniEntry("y", "", 3), new IniEntry("z", "3", 4)),
                section.entries());
    }

    @Test
    void countsLinesForEveryLineEndingAndSkipsByteOrderMark() {
        for (String lineEnd : ImmutableList.of("\n", "\r\n", "\r")) {
            String text = "\uFEFF[a]\n; comment\n\nx = 1\n[b]\ny = 2".replace("\n", lineEnd);
            ImmutableList<IniSection> sections = IniReader.read(text).get();
            assertEquals(
                    ImmutableList.of(new IniEntry("x", "1", 4)), sections.get(0).entries());
            assertEquals(new IniSection("b", 5, ImmutableList.of(new IniEntry("y", "2", 6))), sections.get(1));
        }
    }

    @Test
    void countsLinesAfterLineLongerThanTheReadBuffer() {
        String text = "[a]\nx = " + "1".repeat(100_000) + "\ny = 2\n";
        assertEquals(3, IniReader.read(text).get().get(0).entries().get(1).line());
    }

    @Test
    void doesNotMergeSectionsWithTheSameName() {
        assertEquals(2, IniReader.read("[a]\nx = 1\n[a]\nx = 2\n").get().size());
    }

    @Test
    void reportsEveryMalformedLine() {
        ImmutableList<SettingsFault> faults =
                IniReader.read("x = 1\n[a\ny = 1\n[b]\n= 3\nz = 4\n[]\n").getLeft();
        assertEquals(
                ImmutableList.of(1, 2, 5, 7),
                faults.stream().map(SettingsFault::line).sorted().collect(ImmutableList.toImmutableList()));
    }
}
