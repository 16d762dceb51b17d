package org.cowslippick.entry.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.settings.SettingsDocument;
import org.cowslippick.core.settings.SettingsFault;
import org.cowslippick.entry.endpoint.Json;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/** Handles the reading and committing of settings by operators. */
final class SettingsHandler {

    private static final int MAXIMUM_SETTINGS_BYTES = 64 << 20;
    private static final String UNNAMED_OPERATOR = "unnamed";

    private final SettingsService settings;

    SettingsHandler(SettingsService settings) {
        this.settings = settings;
    }

    /** The response body of a read. */
    record SettingsBody(long revision, String ini) {}

    /** The response body of a successful commit. */
    record RevisionBody(long revision) {}

    /** The response body of a rejected commit. */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    record RejectionBody(
            String error, String outcome, String detail, ImmutableList<String> faults, ImmutableList<String> changes) {

        static RejectionBody of(SettingsService.Rejection rejection) {
            Failure failure = rejection.failure();
            return new RejectionBody(
                    failure.kind().text(),
                    failure.kind().outcome().text(),
                    failure.detail(),
                    rejection.faults(),
                    rejection.changes());
        }
    }

    void read(Context context) {
        SettingsService.CurrentSettings current = settings.current();
        Responses.sendJson(
                context,
                200,
                new SettingsBody(current.revision(), current.document().toIni()));
    }

    void commit(Context context) {
        context.getRequest()
                .getBody(MAXIMUM_SETTINGS_BYTES, () -> Responses.sendError(context, tooLarge()))
                .then(body -> commit(context, body.getText()));
    }

    private void commit(Context context, String text) {
        Optional<JsonNode> json =
                Json.read(text).filter(node -> node.path("baseRevision").isIntegralNumber());
        if (json.isEmpty()) {
            Responses.sendError(
                    context,
                    Failure.of(
                            ErrorKind.MALFORMED_REQUEST,
                            "the body must be JSON with an integer \"baseRevision\" and the settings in \"ini\""));
            return;
        }
        Either<ImmutableList<SettingsFault>, SettingsDocument> document =
                SettingsDocument.parse(json.get().path("ini").asText());
        if (document.isLeft()) {
            reject(context, invalidSettings(document.getLeft()));
            return;
        }
        long baseRevision = json.get().path("baseRevision").asLong();
        String operator = json.get().path("operator").asText(UNNAMED_OPERATOR);
        Promise.toPromise(settings.commit(baseRevision, document.get(), operator))
                .then(result -> result.peekLeft(rejection -> reject(context, rejection))
                        .peek(revision -> Responses.sendJson(context, 200, new RevisionBody(revision))));
    }

    private static void reject(Context context, SettingsService.Rejection rejection) {
        Responses.sendJson(context, rejection.failure().kind().httpStatus(), RejectionBody.of(rejection));
    }

    private static SettingsService.Rejection invalidSettings(ImmutableList<SettingsFault> faults) {
        return new SettingsService.Rejection(
                Failure.of(ErrorKind.SETTINGS_INVALID, "the settings have " + faults.size() + " faults"),
                faults.stream().map(SettingsFault::toString).collect(ImmutableList.toImmutableList()),
                ImmutableList.of());
    }

    private static Failure tooLarge() {
        return Failure.of(
                ErrorKind.BODY_TOO_LARGE, "the settings are larger than " + MAXIMUM_SETTINGS_BYTES + " bytes");
    }
}
