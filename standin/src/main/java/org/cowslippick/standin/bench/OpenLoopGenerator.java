package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

/**
 * An open-loop load generator: sends the requests of a trace at their intended times regardless of responses, then
 * waits for outstanding responses until the drain time is over.
 */
final class OpenLoopGenerator {

    static final String UNANSWERED = "unanswered";
    private static final Duration START_DELAY = Duration.ofMillis(300);

    private final BenchSite site;
    private final Duration drainDuration;

    OpenLoopGenerator(BenchSite site, Duration drainDuration) {
        this.site = site;
        this.drainDuration = drainDuration;
    }

    PolicyRun run(Trace trace) {
        long processorNanosBefore = processorNanos();
        long startNanos = System.nanoTime() + START_DELAY.toNanos();
        ImmutableList<CompletableFuture<CallOutcome>> calls = sendAll(trace, startNanos);
        double availableNanos =
                (double) (System.nanoTime() - startNanos) * Runtime.getRuntime().availableProcessors();
        return new PolicyRun(
                outcomes(calls, trace),
                site.counters(),
                site.inversions().shed(),
                site.inversions().expired(),
                site.poolMeans(),
                (processorNanos() - processorNanosBefore) / availableNanos);
    }

    /** Returns when all calls have ended or the drain time is over. Closing the caller ends outstanding calls. */
    private ImmutableList<CompletableFuture<CallOutcome>> sendAll(Trace trace, long startNanos) {
        try (Caller caller = new Caller()) {
            ImmutableList<CompletableFuture<CallOutcome>> calls = trace.requests().stream()
                    .map(request -> sendAtIntendedTime(caller, request, startNanos + request.sendAtNanos()))
                    .collect(ImmutableList.toImmutableList());
            CompletableFuture.allOf(calls.toArray(CompletableFuture<?>[]::new))
                    .completeOnTimeout(null, drainDuration.toMillis(), TimeUnit.MILLISECONDS)
                    .join();
            return calls;
        }
    }

    private CompletableFuture<CallOutcome> sendAtIntendedTime(
            Caller caller, TracedRequest request, long intendedNanos) {
        long remainingNanos = intendedNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = intendedNanos - System.nanoTime();
        }
        ImmutableList<HostAndPort> entryAddresses = site.entryAddresses();
        HostAndPort address = entryAddresses.get(request.number() % entryAddresses.size());
        return caller.send(address, Caller.Route.ENTRY, request, intendedNanos);
    }

    private static ImmutableList<CallOutcome> outcomes(
            ImmutableList<CompletableFuture<CallOutcome>> calls, Trace trace) {
        return IntStream.range(0, calls.size())
                .mapToObj(number ->
                        calls.get(number).getNow(unanswered(trace.requests().get(number))))
                .collect(ImmutableList.toImmutableList());
    }

    private static CallOutcome unanswered(TracedRequest request) {
        return new CallOutcome(request, 0, 0, 0, 0, false, 0, 0, Optional.of(UNANSWERED));
    }

    private static long processorNanos() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
    }
}
