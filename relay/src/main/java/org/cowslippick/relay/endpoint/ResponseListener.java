package org.cowslippick.relay.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one dispatch. No method is called after {@link #completed}, {@link #connectionLost} or {@link
 * #failed}.
 */
public interface ResponseListener {

    /** Called when the request has been handed to the connection; from now on the endpoint may execute it. */
    void requestSent();

    /** Called when no connection could be opened, so that nothing was sent. */
    void connectFailed(String cause);

    void headReceived(HttpResponse head);

    /** Called with each chunk of the body; the buffer is valid during the call only. */
    void bodyReceived(ByteBuf bytes);

    void completed();

    /** Called when the endpoint closed the connection before the response was complete. */
    void connectionLost(String cause);

    /** Called when the response is not valid HTTP. */
    void failed(String cause);
}
