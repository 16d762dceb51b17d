package org.cowslippick.entry.endpoint;

import io.netty.handler.codec.http.HttpHeaders;

/** A whole response of an engine. */
record EngineResponse(int status, HttpHeaders headers, String body) {}
