package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;

/** Adds line numbers to faults found in the settings tree, which does not store line numbers. */
final class FaultLineLocator {

    private final Map<String, Integer> lines = new HashMap<>();

    private FaultLineLocator(ImmutableList<IniSection> sections) {
        sections.forEach(this::add);
    }

    /** Returns the faults with the line of their key in the text, or of their section if the key is absent. */
    static ImmutableList<SettingsFault> locate(String text, ImmutableList<SettingsFault> faults) {
        FaultLineLocator locator = new FaultLineLocator(IniReader.read(text).getOrElse(ImmutableList.of()));
        return faults.stream().map(locator::locate).collect(ImmutableList.toImmutableList());
    }

    private void add(IniSection section) {
        String name =
                SectionName.parse(section.header()).map(SectionName::toString).orElseGet(section::header);
        lines.put(lineKey(name, ""), section.line());
        section.entries().forEach(entry -> lines.put(lineKey(name, entry.key()), entry.line()));
    }

    private SettingsFault locate(SettingsFault fault) {
        int sectionLine = lines.getOrDefault(lineKey(fault.section(), ""), 0);
        int line = lines.getOrDefault(lineKey(fault.section(), fault.key()), sectionLine);
        return new SettingsFault(fault.section(), fault.key(), line, fault.problem());
    }

    private static String lineKey(String section, String key) {
        return section + "\n" + key;
    }
}
