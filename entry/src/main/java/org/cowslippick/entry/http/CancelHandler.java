package org.cowslippick.entry.http;

import io.vavr.control.Either;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.entry.request.Admission;
import org.cowslippick.entry.request.InFlightRequest;
import org.cowslippick.entry.request.RequestManager;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Cancels a request in flight; callers can cancel only the requests of their own organisation. */
final class CancelHandler implements Handler {

    private final Admission admission;
    private final RequestManager requests;

    CancelHandler(Admission admission, RequestManager requests) {
        this.admission = admission;
        this.requests = requests;
    }

    @Override
    public void handle(Context context) {
        String id = context.getPathTokens().get("request");
        Either<Failure, OrganisationName> organisation =
                admission.authenticate(Responses.header(context, "Authorization"));
        if (organisation.isLeft()) {
            Responses.sendError(context, organisation.getLeft());
            return;
        }
        Optional<InFlightRequest> request = requests.find(new RequestId(id), organisation.get());
        request.ifPresentOrElse(
                found -> {
                    found.cancel();
                    context.getResponse().status(204).send();
                },
                () -> Responses.sendError(
                        context,
                        Failure.of(ErrorKind.UNKNOWN_REQUEST, "request " + id + " is not in flight at this entry")));
    }
}
