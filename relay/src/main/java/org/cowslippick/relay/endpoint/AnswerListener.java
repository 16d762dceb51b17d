package org.cowslippick.relay.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Hears the answer to one dispatch. After {@link #ended} or {@link #broken} nothing more is heard. */
public interface AnswerListener {

    /** The request was handed to the connection; from now on it may run. */
    void sent();

    /** Nothing was sent, as no connection could be opened. */
    void unreachable(String cause);

    /** Status and headers arrived. */
    void head(HttpResponse head);

    /** A part of the body arrived; it is valid during the call only. */
    void part(ByteBuf bytes);

    /** The answer is whole. */
    void ended();

    /** The connection ended before the answer, or what came is no answer. */
    void broken(String cause);
}
