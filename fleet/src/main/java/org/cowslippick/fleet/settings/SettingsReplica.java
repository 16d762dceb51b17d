package org.cowslippick.fleet.settings;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.platform.Platform;
import org.jboss.logging.Logger;

/**
 * One entry's copy of the settings. It only ever takes a higher revision, from the platform or from a peer. A few
 * entries watch the platform; all others hear of a revision from peers, by announcement and by anti-entropy.
 */
public final class SettingsReplica implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger("cowslippick.settings");
    private static final Duration ANTI_ENTROPY_PERIOD = Duration.ofSeconds(1);

    private final SettingsGossip gossip;
    private final BooleanSupplier watches;
    private final SettingsWatch watch;
    private final SettingsObjects objects;
    private final AtomicReference<SettingsSnapshot> current = new AtomicReference<>(SettingsSnapshot.EMPTY);
    private final AtomicBoolean fetching = new AtomicBoolean();
    private final CopyOnWriteArrayList<Consumer<SettingsSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private final Subscription served;
    private final Subscription ticks;

    /** Creates the replica and starts it; {@code watches} tells whether this entry now has to watch the platform. */
    // The first read goes on its own; peers may be faster.
    @SuppressWarnings("FutureReturnValueIgnored")
    public SettingsReplica(Platform platform, SettingsGossip gossip, TimerService timer, BooleanSupplier watches) {
        this.gossip = gossip;
        this.watches = watches;
        this.objects = new SettingsObjects(platform);
        this.watch = new SettingsWatch(platform, current::get, this::apply);
        this.served = gossip.serve(current::get, this::announced);
        this.ticks = timer.every(ANTI_ENTROPY_PERIOD, this::tick);
        fetch(objects);
        tick();
    }

    /** The settings in force at this entry. */
    public SettingsSnapshot current() {
        return current.get();
    }

    /** Tells the listener of every later change, until cancelled. */
    public Subscription subscribe(Consumer<SettingsSnapshot> listener) {
        listeners.add(listener);
        return () -> listeners.remove(listener);
    }

    /** Takes what was just committed through this entry, without waiting for the watch. */
    public CompletableFuture<Void> refresh() {
        return fetch(objects);
    }

    @Override
    public void close() {
        ticks.cancel();
        served.cancel();
        watch.stop();
    }

    private void tick() {
        if (watches.getAsBoolean()) {
            watch.start();
        } else {
            watch.stop();
        }
        gossip.announceToOne(current().revision());
    }

    private void announced(InstanceName peer, long revision) {
        long own = current().revision();
        if (revision > own) {
            fetchOnce(gossip.source(peer));
        } else if (revision < own) {
            gossip.announceTo(peer, own);
        }
    }

    // The fetch completes after it was applied; nobody waits for it.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void fetchOnce(SettingsSource source) {
        if (fetching.compareAndSet(false, true)) {
            fetch(source).whenComplete((_applied, _failure) -> fetching.set(false));
        }
    }

    private CompletableFuture<Void> fetch(SettingsSource source) {
        return SettingsLoader.load(source, current()).thenAccept(loaded -> loaded.peek(this::apply)
                .peekLeft(fault -> LOG.infof(
                        "settings: fetch failed revision=%d fault=%s", current().revision(), fault)));
    }

    private void apply(SettingsSnapshot loaded) {
        SettingsSnapshot before = current.getAndUpdate(known -> loaded.revision() > known.revision() ? loaded : known);
        if (loaded.revision() > before.revision()) {
            LOG.infof("settings: applied revision=%d before=%d", loaded.revision(), before.revision());
            gossip.announceToAll(loaded.revision());
            listeners.forEach(listener -> listener.accept(loaded));
        }
    }
}
