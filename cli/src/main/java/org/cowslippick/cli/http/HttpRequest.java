package org.cowslippick.cli.http;

import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.net.URI;
import java.util.Optional;

/** An HTTP request. A body, if present, is JSON. */
public record HttpRequest(Method method, URI uri, ImmutableMap<String, String> headers, Optional<String> body) {

    public enum Method {
        GET,
        POST,
        DELETE
    }

    public static HttpRequest get(HostAndPort address, String path) {
        return new HttpRequest(Method.GET, uri(address, path), ImmutableMap.of(), Optional.empty());
    }

    public static HttpRequest post(HostAndPort address, String path, String body) {
        return new HttpRequest(Method.POST, uri(address, path), ImmutableMap.of(), Optional.of(body));
    }

    public static HttpRequest delete(HostAndPort address, String path) {
        return new HttpRequest(Method.DELETE, uri(address, path), ImmutableMap.of(), Optional.empty());
    }

    /** Returns a copy with one more header. */
    public HttpRequest withHeader(String header, String value) {
        return new HttpRequest(
                method,
                uri,
                ImmutableMap.<String, String>builder()
                        .putAll(headers)
                        .put(header, value)
                        .buildOrThrow(),
                body);
    }

    /** Returns a copy that sends the credential, if present, as a bearer token. */
    public HttpRequest withCredential(Optional<String> credential) {
        return credential
                .map(present -> withHeader("Authorization", "Bearer " + present))
                .orElse(this);
    }

    private static URI uri(HostAndPort address, String path) {
        return URI.create("http://" + address + path);
    }
}
