package org.cowslippick.relay.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * One request on its way to an endpoint.
 *
 * @param attemptId echoed by the endpoint; an answer with another id belongs to another request
 * @param mayRepeat whether a connection may be used on which the request could get lost
 */
public record Dispatch(HttpRequest head, ByteBuf body, String attemptId, boolean mayRepeat) {}
