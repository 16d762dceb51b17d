package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableMap;
import org.cowslippick.core.settings.SettingsTree;

/**
 * The complete settings at one revision.
 *
 * @param chunks the chunk texts by name, from which peers are served
 */
public record SettingsSnapshot(SettingsRoot root, SettingsTree tree, ImmutableMap<String, String> chunks) {

    public static final SettingsSnapshot EMPTY =
            new SettingsSnapshot(SettingsRoot.EMPTY, SettingsTree.EMPTY, ImmutableMap.of());

    public long revision() {
        return root.revision();
    }
}
