package org.cowslippick.relay.forwarding;

import com.google.common.primitives.Doubles;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.relay.endpoint.EndpointConnections;
import org.cowslippick.relay.endpoint.ResponseListener;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.metrics.RelayEvent;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.EndpointNotice;
import org.cowslippick.scheduler.slot.EndpointRateLimit;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.stream.StreamOrigin;
import org.jboss.logging.Logger;

/** One dispatch of a request to one endpoint, with its slot, until the response has ended. */
final class Attempt implements ResponseListener {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.request");

    private final ForwardingContext context;
    private final ForwardedRequest request;
    private final RequestProgress progress;
    private final LiveEndpoint endpoint;
    private final SlotKey slot;
    private final boolean grantedUnderRateLimit;
    private final ResponseForwarder response;
    private Optional<EndpointConnections.Handle> handle = Optional.empty();
    private boolean released;
    private boolean mayHaveRunEarlier;
    private boolean answered;

    Attempt(ForwardingContext context, ForwardedRequest request, SlotDecision.Granted grant) {
        this.context = context;
        this.request = request;
        this.progress = request.progress();
        this.endpoint = grant.endpoint();
        this.slot = grant.request().key();
        this.grantedUnderRateLimit =
                grant.rateLimit().filter(EndpointRateLimit::isLimited).isPresent();
        this.response = new ResponseForwarder(context, request, this);
    }

    void setHandle(EndpointConnections.Handle newHandle) {
        handle = Optional.of(newHandle);
    }

    void setReading(boolean enabled) {
        handle.ifPresent(present -> present.setReading(enabled));
    }

    @Override
    public void requestSent() {
        if (!progress.mayHaveRun() && progress.triedEndpoints().size() == 1) {
            context.retries().recordRequest(request.admission().service());
        }
        progress.sentToVersions().add(endpoint.softwareVersion());
        mayHaveRunEarlier = progress.mayHaveRun();
        progress.setMayHaveRun(true);
    }

    @Override
    public void connectFailed(String reason) {
        progress.setCause(reason);
        context.metrics().count(RelayEvent.CONNECT_FAILED);
        progress.triedEndpoints().remove(endpoint.id());
        release(AnswerOutcome.UNREACHABLE);
        request.requestSlotAgain();
    }

    @Override
    public void headReceived(HttpResponse received) {
        reportRateLimit(received);
        EndpointNoticeReader.read(received, context.names(), context.timer().nanoTime())
                .ifPresent(this::reportNotice);
        response.start(received);
    }

    private void reportNotice(EndpointNotice notice) {
        context.metrics().count(notice.isLeaving() ? RelayEvent.ENDPOINT_LEAVING : RelayEvent.ENDPOINT_PAUSE);
        context.slots().reportNotice(endpoint, notice);
    }

    /** A response without a limit ends one only if the limit was known before the request was sent. */
    private void reportRateLimit(HttpResponse received) {
        String text = received.headers().get(context.names().rateLimit());
        if (text == null) {
            if (grantedUnderRateLimit) {
                context.slots().reportRateLimit(endpoint, Optional.empty());
            }
            return;
        }
        Optional<Double> named =
                Optional.ofNullable(Doubles.tryParse(text.strip())).filter(rate -> Double.isFinite(rate) && rate >= 0);
        if (named.isPresent()) {
            context.slots().reportRateLimit(endpoint, named);
        } else {
            LOGGER.warn(LogLine.of("rate-limit-unreadable")
                    .with("endpoint", endpoint.id())
                    .with("text", text));
        }
    }

    @Override
    public void bodyReceived(ByteBuf bytes) {
        response.addBody(bytes);
    }

    @Override
    public void completed() {
        handle = Optional.empty();
        response.complete();
    }

    @Override
    public void connectionLost(String reason) {
        context.metrics().count(RelayEvent.CONNECTION_LOST);
        if (!answered) {
            context.crashes().requestBroken(endpoint, request.contents());
        }
        failed(reason);
    }

    @Override
    public void failed(String reason) {
        progress.setCause(reason);
        progress.events().discardPartialEvent();
        release(AnswerOutcome.BROKEN);
        request.retryOrFail(ErrorKind.ENDPOINT_REFUSED);
    }

    boolean isReleased() {
        return released;
    }

    /** Releases the slot, and cancels the dispatch if it is still in progress. */
    void release(AnswerOutcome outcome) {
        if (released) {
            return;
        }
        released = true;
        handle.ifPresent(EndpointConnections.Handle::cancel);
        handle = Optional.empty();
        context.slots().release(slot, outcome);
    }

    /** Binds the stream to the software version of the endpoint, as no other one can resume it. */
    void recordStreamOrigin() {
        progress.setStreamVersion(endpoint.softwareVersion());
        request.stream().ifPresent(stream -> context.streams()
                .recordOrigin(new StreamOrigin(endpoint.service(), stream, endpoint.softwareVersion())));
    }

    /** Records that a part of the response is passed on to the caller. */
    void partForwarded() {
        context.slots().responseStarted(slot);
    }

    /** Records that the endpoint did not crash when it began to answer. */
    void recordAnswered() {
        if (!answered) {
            answered = true;
            context.crashes().answered(endpoint.service(), request.contents());
        }
    }

    /** Takes back that the request was sent, as the endpoint states that it has not run it. */
    void refused(HttpResponseStatus status) {
        context.metrics().count(RelayEvent.ENDPOINT_REFUSED);
        progress.setCause("the endpoint refused the request with " + status.code());
        progress.setMayHaveRun(mayHaveRunEarlier);
        if (status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            progress.triedEndpoints().remove(endpoint.id());
            release(AnswerOutcome.UNREACHABLE);
        } else {
            release(AnswerOutcome.NOT_RUN);
        }
        request.retryOrFail(ErrorKind.ENDPOINT_REFUSED);
    }
}
