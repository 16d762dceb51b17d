package org.cowslippick.entry.request;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.settings.Limits;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.limit.LocalLimits;
import org.cowslippick.scheduler.limit.DemandReport;
import org.cowslippick.scheduler.limit.LimitGate;
import org.cowslippick.scheduler.limit.LimitShare;

/** Enforces this entry's share of each limit: the share allocated to it, or an equal part while none is allocated. */
public final class RequestLimits implements LocalLimits {

    private final LimitGate gate;
    private final TimerService timer;
    private final Supplier<SettingsTree> settings;
    private final IntSupplier entryCount;
    private final Map<RequestId, ImmutableList<Limits>> admitted = new ConcurrentHashMap<>();

    /** Creates the limits of an entry; {@code entryCount} returns the current number of entries. */
    public RequestLimits(
            InstanceName entry, TimerService timer, Supplier<SettingsTree> settings, IntSupplier entryCount) {
        this.gate = new LimitGate(entry, Math.max(1, entryCount.getAsInt()));
        this.timer = timer;
        this.settings = settings;
        this.entryCount = entryCount;
    }

    /** Acquires all limits of the request or none; an admitted request must be released. */
    Optional<Failure> tryAdmit(RequestDescriptor request) {
        ImmutableList<Limits> limits = settings.get()
                .limits(
                        request.organisation(),
                        request.service(),
                        request.tier().name());
        if (limits.isEmpty()) {
            return Optional.empty();
        }
        Optional<Failure> refusal = tryAcquire(limits, request.totalTokens());
        if (refusal.isEmpty()) {
            admitted.put(request.id(), limits);
        }
        return refusal;
    }

    /** Releases the limits that the request acquired, if any. */
    void release(RequestId request) {
        Optional.ofNullable(admitted.remove(request)).ifPresent(this::release);
    }

    @Override
    public synchronized ImmutableList<DemandReport> demand() {
        return gate.demand(timer.nanoTime());
    }

    @Override
    public synchronized void apply(LimitShare share) {
        gate.apply(share, timer.nanoTime());
    }

    private synchronized Optional<Failure> tryAcquire(ImmutableList<Limits> limits, int tokens) {
        gate.setEntries(Math.max(1, entryCount.getAsInt()));
        return gate.tryAdmit(limits, tokens, timer.nanoTime());
    }

    private synchronized void release(ImmutableList<Limits> limits) {
        gate.release(limits);
    }
}
