package org.cowslippick.cli.operator;

import org.cowslippick.core.settings.SettingsDocument;

/** The committed settings, with the revision that a change has to name as its base. */
record CurrentSettings(long revision, SettingsDocument document) {}
