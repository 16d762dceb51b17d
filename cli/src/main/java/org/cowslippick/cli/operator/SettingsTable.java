package org.cowslippick.cli.operator;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import org.cowslippick.cli.Table;
import org.cowslippick.core.settings.SettingsSection;

/** Sections with their own settings as a table. */
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
