package org.cowslippick.fleet.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseHeadValidatorTest {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Attempt: a\r\n\r\n",
                "HTTP/1.1 200\r\n\r\n",
                "HTTP/1.0 404 \r\n\r\n",
                "HTTP/1.1 200 OK\nX-Seal: s\n\n",
                "HTTP/1.1 200 OK\r\nEmpty:\r\nSpaced : value\r\nFolded: one\r\n two\r\n\r\n",
                "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 gateway, 1.1 other\r\nUpgrade: HTTP/2.0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 192.168.0.7:8080\r\nVia: HTTP/1.1 127.0.0.1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Seal: s\r\nWarning: one\r\nWarning: two\r\n\r\n"
            })
    void findsNoDefectInAHead(String head) {
        assertEquals(Optional.empty(), ResponseHeadValidator.findDefect(head));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 HTTP/1.1 500 Internal Server Error\r\nX-Seal: s\r\n\r\n",
                "HTTP/1.1 200 OKHTTP/1.0 404 Not Found\r\nX-Seal: s\r\n\r\n",
                "HTTP/1.1 200 OKhttp/1.1\t500\r\nX-Seal: s\r\n\r\n",
                "HTTP/1.1 200 OK\r\nDate: MonHTTP/1.1 404 Not Found\r\nX-Seal: s\r\n\r\n",
                "HTTP/1.1 200 OK\r\nDate: Mon\r\n HTTP/1.1 404\r\nX-Seal: s\r\n\r\n",
                "HTTP/1.1 200 OK\r\nDate HTTP/1.1 500 Internal Server Error\r\nX-Seal: s\r\n\r\n",
                "HTTP/1.1 200 OK\r\nHTTP/1.1 500 Error: internal\r\nX-Seal: s\r\n\r\n",
                "HTTP/1.1  200 OK\r\n\r\n",
                "http/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 2000 OK\r\n\r\n",
                "\r\n\r\n"
            })
    void findsTheDefectOfAHeadOfTwoResponses(String head) {
        assertTrue(ResponseHeadValidator.findDefect(head).isPresent());
    }
}
