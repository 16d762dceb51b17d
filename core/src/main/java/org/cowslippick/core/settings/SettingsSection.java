package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

/** A section of the tree with its own settings, without inherited ones. */
public record SettingsSection(SectionName name, ImmutableList<Setting> settings) {

    /** Returns the value that this section sets for the key. */
    public Optional<String> value(SettingKey key) {
        for (Setting setting : settings) {
            if (setting.key() == key) {
                return Optional.of(setting.value());
            }
        }
        return Optional.empty();
    }

    /** Returns a copy in which the key has the value. */
    public SettingsSection with(SettingKey key, String value) {
        return new SettingsSection(
                name,
                Stream.concat(withoutKey(key), Stream.of(new Setting(key, value)))
                        .sorted(Comparator.comparing(Setting::key))
                        .collect(ImmutableList.toImmutableList()));
    }

    /** Returns a copy that does not set the key, and so inherits it. */
    public SettingsSection without(SettingKey key) {
        return new SettingsSection(name, withoutKey(key).collect(ImmutableList.toImmutableList()));
    }

    private Stream<Setting> withoutKey(SettingKey key) {
        return settings.stream().filter(setting -> setting.key() != key);
    }
}
