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

/** Holds this entry to its part of every limit: the share that it was given, or an equal part without one. */
public final class RequestLimits implements LocalLimits {

    private final LimitGate gate;
    private final TimerService timer;
    private final Supplier<SettingsTree> settings;
    private final IntSupplier entries;
    private final Map<RequestId, ImmutableList<Limits>> admitted = new ConcurrentHashMap<>();

    /** Creates limits of an entry; {@code entries} tells how many entries are alive now. */
    public RequestLimits(InstanceName entry, TimerService timer, Supplier<SettingsTree> settings, IntSupplier entries) {
        this.gate = new LimitGate(entry, Math.max(1, entries.getAsInt()));
        this.timer = timer;
        this.settings = settings;
        this.entries = entries;
    }

    /** Lets the request pass all of its limits or none; one that passed must be released. */
    Optional<Failure> tryAdmit(RequestDescriptor request) {
        ImmutableList<Limits> limits = settings.get()
                .limits(
                        request.organisation(),
                        request.service(),
                        request.tier().name());
        if (limits.isEmpty()) {
            return Optional.empty();
        }
        Optional<Failure> refusal = admit(limits, request.totalTokens());
        if (refusal.isEmpty()) {
            admitted.put(request.id(), limits);
        }
        return refusal;
    }

    /** The request has ended. */
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

    private synchronized Optional<Failure> admit(ImmutableList<Limits> limits, int tokens) {
        gate.setEntries(Math.max(1, entries.getAsInt()));
        return gate.tryAdmit(limits, tokens, timer.nanoTime());
    }

    private synchronized void release(ImmutableList<Limits> limits) {
        gate.release(limits);
    }
}
