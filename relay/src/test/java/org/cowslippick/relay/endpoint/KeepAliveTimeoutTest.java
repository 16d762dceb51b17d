package org.cowslippick.relay.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** An endpoint closes a connection that idles for longer than it has announced, and the next request is lost. */
class KeepAliveTimeoutTest {

    @ParameterizedTest
    @CsvSource({"timeout=5, 4800", "TIMEOUT=1, 800", "timeout=0, 0", "timeout=999999999999, 59800"})
    void isLessThanAnnouncedByTheMargin(String header, long milliseconds) {
        assertEquals(Optional.of(Duration.ofMillis(milliseconds)), KeepAliveTimeout.announcedIdle(head(header)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"max=100, timeout=5", "max=100,timeout=5"})
    void isReadBesideOtherParameters(String header) {
        assertEquals(Optional.of(Duration.ofMillis(4_800)), KeepAliveTimeout.announcedIdle(head(header)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "timeout", "timeout=", "timeout=x", "timeout=-1", "timeout=1.5", "max=7", "timeout=9e9"})
    void unreadableValuesAreIgnored(String header) {
        assertEquals(Optional.empty(), KeepAliveTimeout.announcedIdle(head(header)));
    }

    private static HttpResponse head(String keepAlive) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set("Keep-Alive", keepAlive);
        return head;
    }
}
