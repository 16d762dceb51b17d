package org.cowslippick.relay.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A request to be sent to an endpoint.
 *
 * @param attemptId echoed by the endpoint; a response with another id belongs to another request
 */
public record Dispatch(HttpRequest head, ByteBuf body, String attemptId) {}
