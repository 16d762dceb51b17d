package org.cowslippick.cli.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cowslippick.cli.Report;
import org.cowslippick.core.settings.SettingChange;

/**
 * The result of an edit of the settings.
 *
 * @param revision the revision that the edit committed, or the current one if there was nothing to change
 */
record SettingsEditResult(long revision, ImmutableList<SettingChange> changes) {

    Report toReport() {
        return new Report(text(), json());
    }

    ObjectNode json() {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("revision", revision);
        changes.forEach(change -> json.withArray("/changes").add(change.toString()));
        return json;
    }

    String text() {
        String lastLine = changes.isEmpty() ? "nothing to change, revision " + revision : "revision " + revision;
        return Stream.concat(changes.stream().map(SettingChange::toString), Stream.of(lastLine))
                .collect(Collectors.joining("\n"));
    }
}
