package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Converts INI sections to sections of the settings tree and collects all faults. Equal settings are interned to save
 * memory, because thousands of organisations have the same ones.
 */
final class SectionReader {

    private final Map<SectionName, SettingsSection> sections = new LinkedHashMap<>();
    private final Map<Setting, Setting> internedSettings = new HashMap<>();
    private final List<SettingsFault> faults = new ArrayList<>();

    void read(IniSection section) {
        Optional<SectionName> name = SectionName.parse(section.header());
        if (name.isEmpty()) {
            faults.add(new SettingsFault(
                    section.header(), "", section.line(), "unknown kind of section, or a name is missing"));
            return;
        }
        if (sections.containsKey(name.get())) {
            faults.add(new SettingsFault(section.header(), "", section.line(), "the section occurs more than once"));
            return;
        }
        checkNames(name.get(), section);
        sections.put(name.get(), new SettingsSection(name.get(), settings(name.get(), section)));
    }

    Collection<SettingsSection> sections() {
        return sections.values();
    }

    ImmutableList<SettingsFault> faults() {
        return ImmutableList.copyOf(faults);
    }

    private void checkNames(SectionName name, IniSection section) {
        name.names().stream()
                .map(SettingType.NAME::validate)
                .<String>mapMulti(Optional::ifPresent)
                .forEach(problem -> faults.add(new SettingsFault(section.header(), "", section.line(), problem)));
    }

    private ImmutableList<Setting> settings(SectionName name, IniSection section) {
        Map<SettingKey, String> values = new HashMap<>();
        for (IniEntry entry : section.entries()) {
            Optional<SettingKey> key = SettingKey.parse(entry.key());
            Optional<String> problem = problem(name, key, entry, values);
            problem.ifPresent(text -> faults.add(new SettingsFault(section.header(), entry.key(), entry.line(), text)));
            key.ifPresent(known -> values.putIfAbsent(known, entry.value()));
        }
        Stream.of(SettingKey.values())
                .filter(key -> key.isRequiredIn(name.kind()) && !values.containsKey(key))
                .forEach(key -> faults.add(
                        new SettingsFault(section.header(), key.text(), section.line(), "the key is missing")));
        return values.entrySet().stream()
                .map(entry -> new Setting(entry.getKey(), entry.getValue()))
                .map(setting -> internedSettings.computeIfAbsent(setting, first -> first))
                .sorted(Comparator.comparing(Setting::key))
                .collect(ImmutableList.toImmutableList());
    }

    private static Optional<String> problem(
            SectionName name, Optional<SettingKey> key, IniEntry entry, Map<SettingKey, String> earlier) {
        if (key.isEmpty()) {
            return Optional.of("no such key");
        }
        if (!key.get().isAllowedIn(name.kind())) {
            return Optional.of("the key is not allowed in this kind of section");
        }
        if (earlier.containsKey(key.get())) {
            return Optional.of("the key occurs more than once");
        }
        return key.get().type().validate(entry.value());
    }
}
