package org.cowslippick.relay.crash;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.endpoint.ProbeResult;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.scheduler.quarantine.CrashHistory;
import org.cowslippick.scheduler.quarantine.CrashId;
import org.cowslippick.scheduler.quarantine.CrashRecord;
import org.jboss.logging.Logger;

/**
 * Records crashes of endpoints with the contents of the requests that they had not begun to answer. A broken connection
 * alone is no crash: the endpoint must refuse a new one. All methods must be called on one event loop.
 */
public final class CrashDetector {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.crash");

    private final InstanceName self;
    private final Incarnation incarnation;
    private final TimerService timer;
    private final BiConsumer<HostAndPort, Consumer<ProbeResult>> prober;
    private final CrashHistory history = new CrashHistory();
    private final Map<LiveEndpoint, List<ImmutableList<String>>> unconfirmed = new HashMap<>();
    private ImmutableSet<String> knownQuarantined = ImmutableSet.of();
    private final List<Consumer<ImmutableList<CrashRecord>>> localChangeListeners = new ArrayList<>();
    private final List<Runnable> mergeListeners = new ArrayList<>();
    private long lastNumber;

    /** The {@code prober} opens a connection to an endpoint and closes it. */
    public CrashDetector(
            InstanceName self,
            Incarnation incarnation,
            TimerService timer,
            BiConsumer<HostAndPort, Consumer<ProbeResult>> prober) {
        this.self = self;
        this.incarnation = incarnation;
        this.timer = timer;
        this.prober = prober;
    }

    /** Adds a receiver of records that this instance has added or cleared suspects from. */
    public void addLocalChangeListener(Consumer<ImmutableList<CrashRecord>> listener) {
        localChangeListeners.add(listener);
    }

    /** Adds what is called when the evidence of another instance was new. */
    public void addMergeListener(Runnable listener) {
        mergeListeners.add(listener);
    }

    /** Called when the connection of a request broke before the endpoint began to answer it. */
    public void requestBroken(LiveEndpoint endpoint, ImmutableList<String> contents) {
        List<ImmutableList<String>> broken = unconfirmed.get(endpoint);
        if (broken != null) {
            broken.add(contents);
            return;
        }
        unconfirmed.put(endpoint, new ArrayList<>(List.of(contents)));
        prober.accept(endpoint.address(), result -> probed(endpoint, result));
    }

    /** Called when an endpoint has begun to answer a request, which clears its contents. */
    public void answered(ServiceName service, ImmutableList<String> contents) {
        changedLocally(history.clear(service, contents, timer.nanoTime()));
    }

    /** Merges evidence of another instance; returns the records that are new or have lost suspects. */
    public ImmutableList<CrashRecord> merge(InstanceName source, ImmutableCollection<CrashRecord> records) {
        ImmutableList<CrashRecord> changed = history.merge(records, timer.nanoTime());
        if (!changed.isEmpty()) {
            logQuarantine(source);
            mergeListeners.forEach(Runnable::run);
        }
        return changed;
    }

    /** Merges evidence that instances wrote to the store. */
    void restore(ImmutableCollection<CrashRecord> records) {
        if (!history.merge(records, timer.nanoTime()).isEmpty()) {
            logQuarantine(self);
        }
    }

    /** Why a request with these contents must not be sent to an endpoint, if so. */
    public Optional<QuarantinedContent> quarantined(ServiceName service, ImmutableList<String> contents) {
        removeExpired();
        return history.quarantined(service, contents)
                .map(content ->
                        new QuarantinedContent(content, history.remainingTime(service, content, timer.nanoTime())));
    }

    /** All evidence that this instance holds, its own and that of others. */
    public ImmutableList<CrashRecord> records() {
        removeExpired();
        return history.records();
    }

    /** Equal on instances with the same evidence; 0 without any. */
    public long digest() {
        return history.digest();
    }

    private void probed(LiveEndpoint endpoint, ProbeResult result) {
        List<ImmutableList<String>> broken = unconfirmed.remove(endpoint);
        LOGGER.info(LogLine.of("endpoint-broke-off")
                .with("endpoint", endpoint.id())
                .with("service", endpoint.service().value())
                .with("unanswered", broken.size())
                .with("probe", result.text())
                .with("crashed", result.showsCrash()));
        if (!result.showsCrash()) {
            return;
        }
        long now = timer.nanoTime();
        ImmutableList<CrashRecord> records = broken.stream()
                .map(contents -> new CrashRecord(nextId(), endpoint.service(), endpoint.id(), now, contents))
                .collect(ImmutableList.toImmutableList());
        changedLocally(history.merge(records, now));
    }

    private void changedLocally(ImmutableList<CrashRecord> changed) {
        if (!changed.isEmpty()) {
            logQuarantine(self);
            localChangeListeners.forEach(listener -> listener.accept(changed));
        }
    }

    private void removeExpired() {
        if (history.expire(timer.nanoTime())) {
            logQuarantine(self);
        }
    }

    private CrashId nextId() {
        lastNumber++;
        return new CrashId(self, incarnation, lastNumber);
    }

    private void logQuarantine(InstanceName source) {
        ImmutableSet<String> current = history.quarantinedContents();
        Sets.difference(current, knownQuarantined).forEach(content -> log("content-quarantined", content, source));
        Sets.difference(knownQuarantined, current).forEach(content -> log("content-released", content, source));
        knownQuarantined = current;
    }

    private void log(String event, String content, InstanceName source) {
        LOGGER.info(LogLine.of(event)
                .with("content", content)
                .with("source", source.value())
                .with("records", history.records().size()));
    }
}
