package org.cowslippick.cli.http;

import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.net.URI;
import java.util.Optional;

/** One HTTP call to be made. A body is JSON. */
public record HttpCall(Method method, URI uri, ImmutableMap<String, String> headers, Optional<String> body) {

    /** The methods in use. */
    public enum Method {
        GET,
        POST,
        DELETE
    }

    public static HttpCall get(HostAndPort address, String path) {
        return new HttpCall(Method.GET, uri(address, path), ImmutableMap.of(), Optional.empty());
    }

    public static HttpCall post(HostAndPort address, String path, String body) {
        return new HttpCall(Method.POST, uri(address, path), ImmutableMap.of(), Optional.of(body));
    }

    public static HttpCall delete(HostAndPort address, String path) {
        return new HttpCall(Method.DELETE, uri(address, path), ImmutableMap.of(), Optional.empty());
    }

    /** Returns a call with one more header. */
    public HttpCall with(String header, String value) {
        return new HttpCall(
                method,
                uri,
                ImmutableMap.<String, String>builder()
                        .putAll(headers)
                        .put(header, value)
                        .buildOrThrow(),
                body);
    }

    /** Returns a call that names its sender by the credential. */
    public HttpCall withCredential(Optional<String> credential) {
        return credential
                .map(present -> with("Authorization", "Bearer " + present))
                .orElse(this);
    }

    private static URI uri(HostAndPort address, String path) {
        return URI.create("http://" + address + path);
    }
}
