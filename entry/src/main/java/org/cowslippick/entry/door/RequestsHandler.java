package org.cowslippick.entry.door;

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
import org.cowslippick.entry.request.RequestDesk;
import org.cowslippick.entry.request.RequestFlow;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Takes requests to services and sends their answers, whole or as a stream. */
final class RequestsHandler implements Handler {

    private final Admission admission;
    private final RequestDesk desk;
    private final AnswerFormat format;
    private final int maximumBodyBytes;
    private final Function<RequestBody, String> serviceName;

    RequestsHandler(
            Admission admission,
            RequestDesk desk,
            AnswerFormat format,
            int maximumBodyBytes,
            Function<RequestBody, String> serviceName) {
        this.admission = admission;
        this.desk = desk;
        this.format = format;
        this.maximumBodyBytes = maximumBodyBytes;
        this.serviceName = serviceName;
    }

    /** What names the service: a token of the path, or a field of the body. */
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
                .getBody(maximumBodyBytes, () -> Answers.error(context, tooLarge()))
                .then(body -> received(context, body.getText()));
    }

    private void received(Context context, String text) {
        CallerHeaders headers = new CallerHeaders(
                Answers.header(context, "Authorization"),
                Answers.header(context, "Idempotency-Key"),
                Answers.header(context, "X-Ticket"),
                Answers.header(context, "X-Tier"),
                Answers.header(context, "X-Deadline-Milliseconds"));
        Either<Failure, AdmittedRequest> admitted =
                admission.admit(headers, serviceName.apply(new RequestBody(context, text)), text);
        if (admitted.isLeft()) {
            Answers.error(context, admitted.getLeft());
        } else if (streamWanted(text, admitted.get())) {
            stream(context, admitted.get());
        } else {
            whole(context, admitted.get());
        }
    }

    private void whole(Context context, AdmittedRequest request) {
        Promise.<Either<WholeAnswer.Refused, WholeAnswer.Collected>>async(downstream -> {
                    RequestFlow flow = desk.start(request, new WholeAnswer(downstream));
                    CallerWatch.cancelWhenClosed(context, flow);
                })
                .then(answer -> sendWhole(context, request, answer));
    }

    private void sendWhole(
            Context context, AdmittedRequest request, Either<WholeAnswer.Refused, WholeAnswer.Collected> answer) {
        if (answer.isLeft()) {
            WholeAnswer.Refused refused = answer.getLeft();
            Answers.error(context, refused.failure(), ErrorBody.of(refused.failure(), refused.receipt()));
            return;
        }
        WholeAnswer.Collected collected = answer.get();
        String body = request.call() instanceof EndpointCall.ApplicationCall
                ? AnswerFormat.application(request.id(), collected.body(), collected.receipt())
                : format.whole(request.id(), collected.text(), collected.receipt());
        context.getResponse().send("application/json", body);
    }

    private void stream(Context context, AdmittedRequest request) {
        AtomicReference<RequestFlow> flow = new AtomicReference<>();
        AnswerPublisher publisher =
                new AnswerPublisher(context.getExecution().getEventLoop(), () -> Optional.ofNullable(flow.get())
                        .ifPresent(RequestFlow::cancel));
        Promise.<StreamedAnswer.Start>async(downstream -> {
                    flow.set(desk.start(request, new StreamedAnswer(request.id(), format, publisher, downstream)));
                    CallerWatch.cancelWhenClosed(context, flow.get());
                })
                .then(start -> sendStream(context, start));
    }

    private static void sendStream(Context context, StreamedAnswer.Start start) {
        if (start instanceof StreamedAnswer.Start.Refused refused) {
            Answers.error(context, refused.failure(), ErrorBody.of(refused.failure(), refused.receipt()));
        } else if (start instanceof StreamedAnswer.Start.Stream stream) {
            context.getResponse().contentType("text/event-stream").noCompress();
            context.getResponse().getHeaders().set("Cache-Control", "no-store");
            context.getResponse().sendStream(stream.publisher());
        }
    }

    private static boolean streamWanted(String text, AdmittedRequest request) {
        return request.call() instanceof EndpointCall.ModelCall
                && Json.read(text)
                        .map(json -> json.path("stream"))
                        .filter(JsonNode::asBoolean)
                        .isPresent();
    }

    private Failure tooLarge() {
        return Failure.of(ErrorKind.BODY_TOO_LARGE, "the body is over " + maximumBodyBytes + " bytes");
    }
}
