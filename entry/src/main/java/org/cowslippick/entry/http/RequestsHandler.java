package org.cowslippick.entry.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.entry.endpoint.EndpointCall;
import org.cowslippick.entry.endpoint.Json;
import org.cowslippick.entry.request.Admission;
import org.cowslippick.entry.request.AdmittedRequest;
import org.cowslippick.entry.request.CallerHeaders;
import org.cowslippick.entry.request.InFlightRequest;
import org.cowslippick.entry.request.RequestManager;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Accepts requests to services and sends their answers, either in one response or as an event stream. */
final class RequestsHandler implements Handler {

    private final Admission admission;
    private final RequestManager requests;
    private final AnswerFormat format;
    private final int maximumBodyBytes;
    private final Function<RequestBody, String> serviceName;

    RequestsHandler(
            Admission admission,
            RequestManager requests,
            AnswerFormat format,
            int maximumBodyBytes,
            Function<RequestBody, String> serviceName) {
        this.admission = admission;
        this.requests = requests;
        this.format = format;
        this.maximumBodyBytes = maximumBodyBytes;
        this.serviceName = serviceName;
    }

    /** Gives access to the service name, which is a path token or a field of the body depending on the route. */
    record RequestBody(Context context, String text) {

        String pathToken(String name) {
            return context.getPathTokens().get(name);
        }

        String field(String name) {
            return Json.read(text).map(json -> json.path(name).asText()).orElse("");
        }
    }

    @Override
    public void handle(Context context) {
        context.getRequest()
                .getBody(maximumBodyBytes, () -> Responses.sendError(context, tooLarge()))
                .then(body -> handleBody(context, body.getText()));
    }

    private void handleBody(Context context, String text) {
        CallerHeaders headers = new CallerHeaders(
                Responses.header(context, "Authorization"),
                Responses.header(context, "Idempotency-Key"),
                Responses.header(context, "X-Ticket"),
                Responses.header(context, "X-Tier"),
                Responses.header(context, "X-Deadline-Milliseconds"));
        Either<Failure, AdmittedRequest> admitted =
                admission.admit(headers, serviceName.apply(new RequestBody(context, text)), text);
        if (admitted.isLeft()) {
            Responses.sendError(context, admitted.getLeft());
        } else if (isStreamRequested(text, admitted.get())) {
            respondWithStream(context, admitted.get());
        } else {
            respondAtOnce(context, admitted.get());
        }
    }

    private void respondAtOnce(Context context, AdmittedRequest request) {
        Promise.<Either<BufferingAnswerListener.Failed, BufferingAnswerListener.Collected>>async(downstream -> {
                    InFlightRequest inFlight = requests.start(request, new BufferingAnswerListener(downstream));
                    DisconnectCancellation.cancelOnDisconnect(context, inFlight);
                })
                .then(answer -> sendComplete(context, request, answer));
    }

    private void sendComplete(
            Context context,
            AdmittedRequest request,
            Either<BufferingAnswerListener.Failed, BufferingAnswerListener.Collected> answer) {
        if (answer.isLeft()) {
            BufferingAnswerListener.Failed failed = answer.getLeft();
            Responses.sendError(context, failed.failure(), ErrorBody.of(failed.failure(), failed.receipt()));
            return;
        }
        BufferingAnswerListener.Collected collected = answer.get();
        String body = request.call() instanceof EndpointCall.ApplicationCall
                ? AnswerFormat.applicationBody(request.id(), collected.body(), collected.receipt())
                : format.completeBody(request.id(), collected.text(), collected.receipt());
        context.getResponse().send("application/json", body);
    }

    private void respondWithStream(Context context, AdmittedRequest request) {
        AtomicReference<InFlightRequest> inFlight = new AtomicReference<>();
        EventStreamPublisher publisher = new EventStreamPublisher(
                context.getExecution().getEventLoop(),
                () -> Optional.ofNullable(inFlight.get()).ifPresent(InFlightRequest::cancel));
        Promise.<StreamingAnswerListener.Start>async(downstream -> {
                    inFlight.set(requests.start(
                            request, new StreamingAnswerListener(request.id(), format, publisher, downstream)));
                    DisconnectCancellation.cancelOnDisconnect(context, inFlight.get());
                })
                .then(start -> sendStream(context, start));
    }

    private static void sendStream(Context context, StreamingAnswerListener.Start start) {
        if (start instanceof StreamingAnswerListener.Start.Failed failed) {
            Responses.sendError(context, failed.failure(), ErrorBody.of(failed.failure(), failed.receipt()));
        } else if (start instanceof StreamingAnswerListener.Start.Stream stream) {
            context.getResponse().contentType("text/event-stream").noCompress();
            context.getResponse().getHeaders().set("Cache-Control", "no-store");
            context.getResponse().sendStream(stream.publisher());
        }
    }

    private static boolean isStreamRequested(String text, AdmittedRequest request) {
        return request.call() instanceof EndpointCall.ModelCall
                && Json.read(text)
                        .map(json -> json.path("stream"))
                        .filter(JsonNode::asBoolean)
                        .isPresent();
    }

    private Failure tooLarge() {
        return Failure.of(ErrorKind.BODY_TOO_LARGE, "the body is larger than " + maximumBodyBytes + " bytes");
    }
}
