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

/** Sends a trace at its intended times, whatever has been answered, and waits a while for what is still open. */
final class OpenLoop {

    static final String UNANSWERED = "unanswered";
    private static final Duration START_DELAY = Duration.ofMillis(300);

    private final BenchSite site;
    private final Duration drain;

    OpenLoop(BenchSite site, Duration drain) {
        this.site = site;
        this.drain = drain;
    }

    PolicyRun run(Trace trace) {
        long processorBefore = processorNanos();
        long startNanos = System.nanoTime() + START_DELAY.toNanos();
        ImmutableList<CompletableFuture<CallOutcome>> calls = sendAll(trace, startNanos);
        double availableNanos =
                (double) (System.nanoTime() - startNanos) * Runtime.getRuntime().availableProcessors();
        return new PolicyRun(
                outcomes(calls, trace),
                site.counters(),
                site.inversions().shed(),
                site.inversions().expired(),
                site.samples(),
                (processorNanos() - processorBefore) / availableNanos);
    }

    /** Returns when all calls ended or the drain time is over; closing the caller ends the calls that are left. */
    private ImmutableList<CompletableFuture<CallOutcome>> sendAll(Trace trace, long startNanos) {
        try (Caller caller = new Caller()) {
            ImmutableList<CompletableFuture<CallOutcome>> calls = trace.requests().stream()
                    .map(request -> sendAt(caller, request, startNanos + request.sendAtNanos()))
                    .collect(ImmutableList.toImmutableList());
            CompletableFuture.allOf(calls.toArray(CompletableFuture<?>[]::new))
                    .completeOnTimeout(null, drain.toMillis(), TimeUnit.MILLISECONDS)
                    .join();
            return calls;
        }
    }

    private CompletableFuture<CallOutcome> sendAt(Caller caller, TracedRequest request, long intendedNanos) {
        for (long left = intendedNanos - System.nanoTime(); left > 0; left = intendedNanos - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
        ImmutableList<HostAndPort> addresses = site.entryAddresses();
        HostAndPort address = addresses.get(request.number() % addresses.size());
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
