package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;

/** Finds the lines of faults that were found in the tree, which does not keep lines. */
final class FaultLines {

    private final Map<String, Integer> lines = new HashMap<>();

    private FaultLines(ImmutableList<IniSection> sections) {
        sections.forEach(this::add);
    }

    /** Returns the faults with the lines of their keys in the text, or of their section if the key is absent. */
    static ImmutableList<SettingsFault> locate(String text, ImmutableList<SettingsFault> faults) {
        FaultLines lines = new FaultLines(IniReader.read(text).getOrElse(ImmutableList.of()));
        return faults.stream().map(lines::locate).collect(ImmutableList.toImmutableList());
    }

    private void add(IniSection section) {
        String name =
                SectionName.parse(section.header()).map(SectionName::toString).orElseGet(section::header);
        lines.put(place(name, ""), section.line());
        section.entries().forEach(entry -> lines.put(place(name, entry.key()), entry.line()));
    }

    private SettingsFault locate(SettingsFault fault) {
        int sectionLine = lines.getOrDefault(place(fault.section(), ""), 0);
        int line = lines.getOrDefault(place(fault.section(), fault.key()), sectionLine);
        return new SettingsFault(fault.section(), fault.key(), line, fault.problem());
    }

    private static String place(String section, String key) {
        return section + "\n" + key;
    }
}
