package org.cowslippick.fleet.settings;

import org.cowslippick.core.settings.SettingsDocument;

/**
 * A document that an operator asks to commit.
 *
 * @param baseRevision the revision that the document is based on
 * @param operator the operator's name, recorded in the history
 */
public record SettingsProposal(long baseRevision, SettingsDocument document, String operator) {}
