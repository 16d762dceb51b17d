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
 * One entry's replica of the settings. Its revision never decreases. A few entries watch the platform; all others learn
 * of a new revision from peers, by announcements and by anti-entropy.
 */
public final class SettingsReplica implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger("cowslippick.settings");
    private static final Duration ANTI_ENTROPY_PERIOD = Duration.ofSeconds(1);

    private final SettingsGossip gossip;
    private final BooleanSupplier shouldWatch;
    private final SettingsWatch watch;
    private final SettingsObjects objects;
    private final AtomicReference<SettingsSnapshot> current = new AtomicReference<>(SettingsSnapshot.EMPTY);
    private final AtomicBoolean isFetching = new AtomicBoolean();
    private final CopyOnWriteArrayList<Consumer<SettingsSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private final Subscription gossipSubscription;
    private final Subscription tickSubscription;

    /** Creates and starts the replica; {@code shouldWatch} tells whether this entry currently watches the platform. */
    // No caller waits for the first read; peers may deliver the settings earlier.
    @SuppressWarnings("FutureReturnValueIgnored")
    public SettingsReplica(Platform platform, SettingsGossip gossip, TimerService timer, BooleanSupplier shouldWatch) {
        this.gossip = gossip;
        this.shouldWatch = shouldWatch;
        this.objects = new SettingsObjects(platform);
        this.watch = new SettingsWatch(platform, current::get, this::apply);
        this.gossipSubscription = gossip.serve(current::get, this::announced);
        this.tickSubscription = timer.scheduleWithFixedDelay(ANTI_ENTROPY_PERIOD, this::tick);
        fetch(objects);
        tick();
    }

    /** Returns the settings in force at this entry. */
    public SettingsSnapshot current() {
        return current.get();
    }

    /** Notifies the listener of every later change, until cancelled. */
    public Subscription subscribe(Consumer<SettingsSnapshot> listener) {
        listeners.add(listener);
        return () -> listeners.remove(listener);
    }

    /** Reads the platform's settings after a commit through this entry, without waiting for the watch. */
    public CompletableFuture<Void> refresh() {
        return fetch(objects);
    }

    @Override
    public void close() {
        tickSubscription.cancel();
        gossipSubscription.cancel();
        watch.stop();
    }

    private void tick() {
        if (shouldWatch.getAsBoolean()) {
            watch.start();
        } else {
            watch.stop();
        }
        gossip.announceToRandomPeer(current().revision());
    }

    private void announced(InstanceName peer, long revision) {
        long own = current().revision();
        if (revision > own) {
            fetchUnlessFetching(gossip.source(peer));
        } else if (revision < own) {
            gossip.announceTo(peer, own);
        }
    }

    // No caller waits for the fetch, which applies its own result.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void fetchUnlessFetching(SettingsSource source) {
        if (isFetching.compareAndSet(false, true)) {
            fetch(source).whenComplete((_applied, _failure) -> isFetching.set(false));
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
