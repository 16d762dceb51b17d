package org.cowslippick.scheduler.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.world.OrganisationName;

/** Reference model of {@link TieredQueue} by linear scans, for traffic without late requests or starved tiers. */
final class ReferenceQueue {

    private record Account(int rank, OrganisationName organisation) {}

    private final List<QueuedRequest> waiting = new ArrayList<>();
    private final Map<Account, Double> served = new HashMap<>();
    private final Map<Integer, Double> virtualTimes = new HashMap<>();

    void add(QueuedRequest request) {
        Account account = account(request);
        boolean idle = waiting.stream().noneMatch(other -> account(other).equals(account));
        if (idle) {
            served.merge(account, virtualTimes.getOrDefault(request.rank(), 0.0), Math::max);
        }
        waiting.add(request);
    }

    Optional<QueuedRequest> next() {
        return waiting.stream()
                .min(Comparator.comparingInt(QueuedRequest::rank)
                        .thenComparing(request -> served.get(account(request)))
                        .thenComparing(request -> request.request().organisation())
                        .thenComparing(QueuedRequest.BY_FIRST_TOKEN_START));
    }

    Optional<QueuedRequest> shedCandidate() {
        return waiting.stream()
                .max(Comparator.comparingInt(QueuedRequest::rank)
                        .thenComparing(request -> served.get(account(request)))
                        .thenComparing(request -> request.request().organisation())
                        .thenComparing(QueuedRequest.BY_FIRST_TOKEN_START));
    }

    void take(QueuedRequest request) {
        Account account = account(request);
        virtualTimes.merge(request.rank(), served.get(account), Math::max);
        served.merge(account, (double) request.request().totalTokens(), Double::sum);
        waiting.remove(request);
    }

    private static Account account(QueuedRequest request) {
        return new Account(request.rank(), request.request().organisation());
    }
}
