package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Engines of two software versions serve side by side, and a stream breaks off: only the version that began it resumes it. */
@Timeout(30)
class MixedVersionStreamTest {

    private static final String STREAM =
            "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** Whichever engine begins the stream, the other one is of another version. */
    @Test
    void streamIsNotResumedAtAnotherVersion() throws Exception {
        try (ScriptedEngine one = engine("v1");
                ScriptedEngine other = engine("v2");
                RelayHarness relay = new RelayHarness(one, other)) {
            String response = relay.call("POST", "/chat/1", "Connection: keep-alive\r\n", "hi");
            assertTrue(response.contains("id: 1\n"), response);
            assertFalse(response.contains("id: 2\n"), response);
            assertFalse(response.contains(LAST_CHUNK), response);
            assertFalse(response.contains("<silent>"), response);
            assertEquals(1, one.requests().size() + other.requests().size(), response);
        }
    }

    /** All arrangements of the versions, as the relay chooses which engine begins the stream and which one it tries next. */
    @ParameterizedTest
    @CsvSource({"v1,v1,v2,v2", "v1,v2,v1,v2", "v1,v2,v2,v1", "v2,v1,v1,v2", "v2,v1,v2,v1", "v2,v2,v1,v1"})
    void streamIsResumedAtAnotherEngineOfItsVersion(String first, String second, String third, String fourth)
            throws Exception {
        try (ScriptedEngine one = engine(first);
                ScriptedEngine two = engine(second);
                ScriptedEngine three = engine(third);
                ScriptedEngine four = engine(fourth);
                RelayHarness relay = new RelayHarness(one, two, three, four)) {
            String response = relay.call("POST", "/chat/1", "", "hi");
            assertTrue(response.contains("id: 1\n") && response.contains("id: 2\n"), response);
            assertTrue(response.endsWith(LAST_CHUNK), response);
            assertTrue(response.contains("data: v1\n") ^ response.contains("data: v2\n"), response);
        }
    }

    /** Where all engines are of one version, or name none, any of them can resume what any of them began. */
    @ParameterizedTest
    @ValueSource(strings = {"v1", ""})
    void callerResumesStreamWhereOneVersionServes(String version) throws Exception {
        try (ScriptedEngine engine = engine(version);
                RelayHarness relay = new RelayHarness(engine)) {
            String broken = relay.call("POST", "/chat/1", "X-Attempt: a1\r\n", "hi");
            assertTrue(broken.contains("id: 1\n"), broken);
            assertFalse(broken.contains(LAST_CHUNK), broken);
            String rest = relay.call("POST", "/chat/1", "X-Attempt: a2\r\nX-Last-Event: 1\r\nX-Resumes: a1\r\n", "hi");
            assertTrue(rest.startsWith("HTTP/1.1 200"), rest);
            assertTrue(rest.contains("id: 2\n"), rest);
            assertTrue(rest.endsWith(LAST_CHUNK), rest);
        }
    }

    /** Nobody knows which version began the stream, and a guess could join two. */
    @Test
    void streamOfUnknownVersionIsRefused() throws Exception {
        try (ScriptedEngine one = engine("v1");
                ScriptedEngine other = engine("v2");
                RelayHarness relay = new RelayHarness(one, other)) {
            String response =
                    relay.call("POST", "/chat/1", "X-Attempt: a2\r\nX-Last-Event: 1\r\nX-Resumes: a1\r\n", "hi");
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
            assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after:"), response);
            assertTrue(response.contains("stream-origin-unknown"), response);
            assertEquals(0, one.requests().size() + other.requests().size(), response);
        }
    }

    /** Begins a stream and breaks it off after one event, and has the rest for a request that resumes it. */
    private static ScriptedEngine engine(String version) throws IOException {
        String event = "id: %d\ndata: " + version + "\n\n";
        String broken = STREAM + "Connection: close\r\n\r\n" + event.formatted(1) + ScriptedEngine.RESET;
        String rest = event.formatted(2);
        return new ScriptedEngine(broken)
                .withSoftwareVersion(version)
                .withContinuation(STREAM + "Content-Length: " + rest.length() + "\r\n\r\n" + rest);
    }
}
