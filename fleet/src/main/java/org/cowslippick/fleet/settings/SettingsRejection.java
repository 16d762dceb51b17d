package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.settings.SettingsFault;

/**
 * Why a commit failed, or why its outcome is unknown.
 *
 * @param faults the faults found in the document
 * @param conflicts the settings that others changed since the base revision
 */
public record SettingsRejection(Failure failure, ImmutableList<SettingsFault> faults, ImmutableList<String> conflicts) {

    static SettingsRejection of(ErrorKind kind, String detail) {
        return new SettingsRejection(Failure.of(kind, detail), ImmutableList.of(), ImmutableList.of());
    }

    static SettingsRejection invalid(ImmutableList<SettingsFault> faults) {
        return new SettingsRejection(
                Failure.of(ErrorKind.SETTINGS_INVALID, faults.size() + " faults, the first: " + faults.get(0)),
                faults,
                ImmutableList.of());
    }

    static SettingsRejection conflict(long current, ImmutableList<String> conflicts) {
        return new SettingsRejection(
                Failure.of(
                        ErrorKind.SETTINGS_CONFLICT,
                        "the settings are at revision " + current + "; changed meanwhile: "
                                + String.join("; ", conflicts)),
                ImmutableList.of(),
                conflicts);
    }
}
