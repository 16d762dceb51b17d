package org.cowslippick.entry.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ModelEngineClientTest {

    /** The engine answers the resumed stream with 404; without an end of the first one, it would not be resumed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nX-Requ",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
                "HTTP/1.1 200 OK\r\n\r\ndata: ",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n",
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Started: true\r\n"
            })
    void aStreamThatStopsIsResumed(String truncated) throws Exception {
        assertEquals("failed", EngineDispatch.modelOutcome(truncated));
    }
}
