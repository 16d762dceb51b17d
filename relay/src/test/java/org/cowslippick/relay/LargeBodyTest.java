package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests with bodies of the maximum size. */
@Timeout(30)
class LargeBodyTest {

    private static final String BODY = "b".repeat(4_000_000);

    /** As many as two endpoints run at once. */
    private static final int REQUESTS = 8;

    /** The whole process has 64 MB outside the heap, and hundreds of connections. */
    private static final long MAXIMUM_DIRECT_BYTES = 8 << 20;

    private static final long SAMPLE_PERIOD_MILLISECONDS = 10;

    /** The event loop stood still once the direct memory was used up by bodies that hung engines had not read (CONFIG). */
    @Test
    void bodiesThatEnginesDoNotReadUseLittleDirectMemory() throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(REQUESTS);
        try (ScriptedEngine one = new ScriptedEngine().withoutReading();
                ScriptedEngine other = new ScriptedEngine().withoutReading();
                RelayHarness relay = new RelayHarness(one, other)) {
            long before = directBytes();
            List<CompletableFuture<String>> responses = IntStream.range(0, REQUESTS)
                    .mapToObj(index -> CompletableFuture.supplyAsync(() -> post(relay, "/book/" + index), callers))
                    .collect(ImmutableList.toImmutableList());
            CompletableFuture<Void> all = CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new));
            long highest = 0;
            while (!all.isDone()) {
                highest = Math.max(highest, directBytes());
                TimeUnit.MILLISECONDS.sleep(SAMPLE_PERIOD_MILLISECONDS);
            }
            assertTrue(highest - before < MAXIMUM_DIRECT_BYTES, "bytes in use: " + (highest - before));
            for (CompletableFuture<String> response : responses) {
                assertTrue(response.get().startsWith("HTTP/1.1 504"), response.get());
            }
        } finally {
            callers.shutdownNow();
        }
    }

    @Test
    void forwardsTheWholeBody() throws Exception {
        String ok = "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n";
        try (ScriptedEngine engine = new ScriptedEngine(ok, ok);
                RelayHarness relay = new RelayHarness(engine)) {
            for (String target : List.of("/book/1", "/look/1")) {
                assertTrue(relay.call("POST", target, "", BODY).startsWith("HTTP/1.1 200"));
            }
            for (String sent : engine.requests()) {
                assertEquals(BODY, sent.substring(sent.length() - BODY.length()));
            }
        }
    }

    private static String post(RelayHarness relay, String target) {
        try {
            return relay.call("POST", target, "", BODY);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static long directBytes() {
        return ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT)
                .metric()
                .usedDirectMemory();
    }
}
