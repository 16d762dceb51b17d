package org.cowslippick.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.ExitCode;
import org.cowslippick.core.settings.SettingsDocument;

/** Reads and commits settings through an entry. */
final class EntrySettingsAccess implements SettingsAccess {

    private static final String PATH = "/v1/settings";

    private final EntryApi entry;

    EntrySettingsAccess(EntryApi entry) {
        this.entry = entry;
    }

    @Override
    public Either<CommandFailure, CurrentSettings> read() {
        return entry.get(PATH).flatMap(this::parse);
    }

    @Override
    public Either<CommandFailure, Long> commit(long baseRevision, SettingsDocument changed) {
        JsonNode body = JsonNodeFactory.instance
                .objectNode()
                .put("baseRevision", baseRevision)
                .put("ini", changed.toIni());
        return entry.post(PATH, body).map(response -> response.path("revision").asLong());
    }

    private Either<CommandFailure, CurrentSettings> parse(JsonNode response) {
        return SettingsDocument.parse(response.path("ini").asText())
                .map(document -> new CurrentSettings(response.path("revision").asLong(), document))
                .mapLeft(faults -> CommandFailure.of(
                        ExitCode.REFUSED,
                        "entry " + entry.address() + " holds settings that this version cannot read: "
                                + faults.get(0)));
    }
}
