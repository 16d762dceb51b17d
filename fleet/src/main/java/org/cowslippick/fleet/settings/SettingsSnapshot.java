package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableMap;
import org.cowslippick.core.settings.SettingsTree;

/**
 * The whole settings at one revision.
 *
 * @param chunks the texts that they were read from, by name, to be handed on to peers
 */
public record SettingsSnapshot(SettingsRoot root, SettingsTree tree, ImmutableMap<String, String> chunks) {

    public static final SettingsSnapshot EMPTY =
            new SettingsSnapshot(SettingsRoot.EMPTY, SettingsTree.EMPTY, ImmutableMap.of());

    public long revision() {
        return root.revision();
    }
}
