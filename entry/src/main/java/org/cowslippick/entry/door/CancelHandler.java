package org.cowslippick.entry.door;

import io.vavr.control.Either;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.entry.request.Admission;
import org.cowslippick.entry.request.RequestDesk;
import org.cowslippick.entry.request.RequestFlow;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Cancels a request in flight of the caller's own organisation. */
final class CancelHandler implements Handler {

    private final Admission admission;
    private final RequestDesk desk;

    CancelHandler(Admission admission, RequestDesk desk) {
        this.admission = admission;
        this.desk = desk;
    }

    @Override
    public void handle(Context context) {
        String id = context.getPathTokens().get("request");
        Either<Failure, OrganisationName> organisation =
                admission.organisation(Answers.header(context, "Authorization"));
        if (organisation.isLeft()) {
            Answers.error(context, organisation.getLeft());
            return;
        }
        Optional<RequestFlow> flow = desk.find(new RequestId(id), organisation.get());
        flow.ifPresentOrElse(
                found -> {
                    found.cancel();
                    context.getResponse().status(204).send();
                },
                () -> Answers.error(
                        context, Failure.of(ErrorKind.UNKNOWN_REQUEST, "no request " + id + " is in flight here")));
    }
}
