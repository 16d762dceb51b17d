package org.cowslippick.fleet.settings;

import org.cowslippick.core.settings.SettingsDocument;

/**
 * What an operator wants to commit.
 *
 * @param baseRevision the revision that the operator changed
 * @param operator who it is, for the history
 */
public record SettingsProposal(long baseRevision, SettingsDocument document, String operator) {}
