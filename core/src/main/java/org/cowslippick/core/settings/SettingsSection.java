package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

/** One section of the tree with its own settings, without what it inherits. */
public record SettingsSection(SectionName name, ImmutableList<Setting> settings) {

    /** Finds the section's own value of a key. */
    public Optional<String> value(SettingKey key) {
        for (Setting setting : settings) {
            if (setting.key() == key) {
                return Optional.of(setting.value());
            }
        }
        return Optional.empty();
    }

    /** Returns a section in which the key has the value. */
    public SettingsSection with(SettingKey key, String value) {
        return new SettingsSection(
                name,
                Stream.concat(withoutKey(key), Stream.of(new Setting(key, value)))
                        .sorted(Comparator.comparing(Setting::key))
                        .collect(ImmutableList.toImmutableList()));
    }

    /** Returns a section that inherits the key. */
    public SettingsSection without(SettingKey key) {
        return new SettingsSection(name, withoutKey(key).collect(ImmutableList.toImmutableList()));
    }

    private Stream<Setting> withoutKey(SettingKey key) {
        return settings.stream().filter(setting -> setting.key() != key);
    }
}
