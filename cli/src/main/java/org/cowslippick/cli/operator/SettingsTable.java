package org.cowslippick.cli.operator;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import org.cowslippick.cli.Table;
import org.cowslippick.core.settings.SettingsSection;

/** A table of the settings that are set in sections themselves, without inherited values. */
final class SettingsTable {

    private static final ImmutableList<String> COLUMNS = ImmutableList.of("section", "key", "value");

    private SettingsTable() {}

    static Table of(Collection<SettingsSection> sections) {
        return new Table(
                COLUMNS,
                sections.stream()
                        .flatMap(section -> section.settings().stream()
                                .map(setting -> ImmutableList.of(
                                        section.name().toString(), setting.key().text(), setting.value())))
                        .collect(ImmutableList.toImmutableList()));
    }
}
