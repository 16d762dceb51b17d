package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.stream.PresentVersions.Presence;
import org.cowslippick.relay.stream.PresentVersions.State;
import org.cowslippick.relay.stream.PresentVersions.Version;
import org.cowslippick.scheduler.stream.ServiceVersions;
import org.jboss.logging.Logger;

/**
 * Brings the store's entries into agreement with the present versions. One list serves all services; a service whose
 * entry lacks something is then written, conditionally on the revision that was read.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class VersionSynchroniser {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.versions");

    /** Instances see a new version at the same moment; those that load later find it registered. */
    private static final long MAXIMUM_LOAD_DELAY_MILLISECONDS = 20;

    private static final long MINIMUM_RETRY_DELAY_MILLISECONDS = 200;
    private static final long MAXIMUM_RETRY_DELAY_MILLISECONDS = 800;
    private static final int MAXIMUM_WRITES = 4;

    private final TimerService timer;
    private final VersionStore store;
    private final ServiceVersions versions;
    private final PresentVersions present;
    private final Runnable confirmationListener;
    private final SharedLoader<RegisteredVersions> reader;
    private final Set<ServiceName> writing = new HashSet<>();
    private ImmutableMap<ServiceName, RegisteredVersions> entries = ImmutableMap.of();
    private ImmutableSet<ServiceName> servicesToRestore = ImmutableSet.of();
    private boolean isRegistryKnown;
    private boolean isStoreLost;
    private boolean isRemovalDue;
    private boolean isLoadPending;
    private BiConsumer<ServiceName, ImmutableSet<String>> establishedListener = (_service, _versions) -> {};
    private int restarts;

    VersionSynchroniser(
            TimerService timer,
            VersionStore store,
            ServiceVersions versions,
            PresentVersions present,
            Runnable confirmationListener) {
        this.timer = timer;
        this.store = store;
        this.versions = versions;
        this.present = present;
        this.confirmationListener = confirmationListener;
        this.reader = new SharedLoader<>(
                timer,
                "versions-read",
                store::load,
                this::applyLoaded,
                (line, loaded) -> line.with("entries", loaded.size()));
    }

    /** Sets what is called with the versions of each service that the registry names when it is first loaded. */
    void setEstablishedListener(BiConsumer<ServiceName, ImmutableSet<String>> listener) {
        establishedListener = listener;
    }

    /** Loads the registry shortly, if it is not known or lacks something that this instance can write. */
    void synchronise() {
        if (isLoadNeeded()) {
            scheduleLoad(0, MAXIMUM_LOAD_DELAY_MILLISECONDS);
        }
    }

    /** Whether the store holds several versions of the service, as far as this instance has read it. */
    boolean isMixed(ServiceName service) {
        return Optional.ofNullable(entries.get(service))
                .filter(entry -> entry.lastPresent().size() > 1)
                .isPresent();
    }

    /**
     * Reads the registry, and calls back with whether it names the version alone. The read begins after the call, so that
     * it has all versions that had been registered by then; empty if the store does not respond.
     */
    void confirmOnly(ServiceName service, String version, Consumer<Optional<Boolean>> onConfirmed) {
        reader.load(isRead -> onConfirmed.accept(
                Optional.of(isRead).filter(read -> read).map(_read -> isAloneRegistered(service, version))));
    }

    private boolean isAloneRegistered(ServiceName service, String version) {
        return Optional.ofNullable(entries.get(service))
                .filter(entry -> entry.lastPresent().keySet().equals(ImmutableSet.of(version)))
                .isPresent();
    }

    void setStoreLost(boolean isLost) {
        isStoreLost = isLost;
    }

    /** Records that the store may lack all that it held; what is possible is written again even if it has left. */
    void restoreAll() {
        restarts++;
        servicesToRestore = Stream.concat(
                        entries.keySet().stream(),
                        present.unconfirmed().stream().map(Version::service))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Removes outdated versions if this instance knows of any. */
    void removeOutdated() {
        isRemovalDue = entries.values().stream()
                .anyMatch(entry -> !observed(entry.service()).outdatedIn(entry).isEmpty());
        synchronise();
    }

    private boolean isLoadNeeded() {
        return !isRegistryKnown
                || (!isStoreLost && (isRemovalDue || !servicesToWrite().isEmpty()));
    }

    /** Services with a write in flight are looked at again when it ends. */
    private ImmutableSet<ServiceName> servicesToWrite() {
        return Stream.concat(
                        servicesToRestore.stream(),
                        present.unconfirmed().stream().map(Version::service))
                .filter(service -> !writing.contains(service))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Removals wait for their next turn, as nothing depends on them. */
    private void retryLoad() {
        isRemovalDue = false;
        retryLater();
    }

    private void retryLater() {
        if (isLoadNeeded()) {
            scheduleLoad(MINIMUM_RETRY_DELAY_MILLISECONDS, MAXIMUM_RETRY_DELAY_MILLISECONDS);
        }
    }

    private void scheduleLoad(long minimumMilliseconds, long maximumMilliseconds) {
        if (!isLoadPending) {
            isLoadPending = true;
            long delay = ThreadLocalRandom.current().nextLong(minimumMilliseconds, maximumMilliseconds + 1);
            timer.schedule(Duration.ofMillis(delay), this::load);
        }
    }

    private void load() {
        if (!isLoadNeeded()) {
            isLoadPending = false;
            return;
        }
        int restartsBefore = restarts;
        store.load()
                .exceptionally(failure -> {
                    LOGGER.error(LogLine.of("versions-load-failed"), failure);
                    return Optional.empty();
                })
                .thenAccept(loaded -> {
                    isLoadPending = false;
                    if (restartsBefore != restarts) {
                        synchronise();
                    } else {
                        loaded.ifPresentOrElse(this::applyLoaded, this::retryLoad);
                    }
                })
                .whenComplete((_done, failure) -> logFailure(failure));
    }

    private void applyLoaded(ImmutableList<RegisteredVersions> loaded) {
        loaded.forEach(this::addRegistered);
        entries = Maps.uniqueIndex(loaded, RegisteredVersions::service);
        if (!isRegistryKnown) {
            isRegistryKnown = true;
            versions.setRegistryKnown();
            entries.values()
                    .forEach(entry -> establishedListener.accept(
                            entry.service(), entry.lastPresent().keySet()));
            LOGGER.info(LogLine.of("versions-loaded")
                    .with("entries", entries.values().toString()));
        }
        if (isStoreLost) {
            return;
        }
        boolean removes = isRemovalDue;
        isRemovalDue = false;
        Sets.union(servicesToWrite(), removes ? entries.keySet() : ImmutableSet.of()).immutableCopy().stream()
                .filter(service -> !writing.contains(service))
                .map(service -> Optional.ofNullable(entries.get(service))
                        .orElseGet(() -> new RegisteredVersions(service, 0, ImmutableMap.of())))
                .forEach(entry -> settle(entry, removes, MAXIMUM_WRITES));
    }

    /** An entry that is read again unchanged says nothing about a later presence. */
    private void addRegistered(RegisteredVersions entry) {
        ImmutableMap<String, Long> known = Optional.ofNullable(entries.get(entry.service()))
                .map(RegisteredVersions::lastPresent)
                .orElseGet(ImmutableMap::of);
        versions.addRegistered(
                entry.service(),
                Maps.filterEntries(entry.lastPresent(), version -> !version.getValue()
                                .equals(known.get(version.getKey())))
                        .keySet(),
                timer.nanoTime());
    }

    private void settle(RegisteredVersions entry, boolean removes, int writesLeft) {
        ServiceName service = entry.service();
        ObservedVersions observed = observed(service);
        confirm(service, observed.confirmedBy(entry), "load");
        passOnNamed(entry);
        Optional<RegisteredVersions> replacement = observed.replacement(entry, unconfirmed(service), removes);
        if (replacement.isEmpty()) {
            finish(service);
        } else if (writesLeft == 0) {
            retryLater();
        } else {
            write(entry, replacement.get(), removes, writesLeft);
        }
    }

    private void write(RegisteredVersions entry, RegisteredVersions replacement, boolean removes, int writesLeft) {
        int restartsBefore = restarts;
        ServiceName service = entry.service();
        writing.add(service);
        store.write(replacement)
                .exceptionally(failure -> {
                    LOGGER.error(LogLine.of("versions-write-failed").with("service", service.value()), failure);
                    return new VersionStore.Result(false, Optional.empty());
                })
                .thenAccept(result -> {
                    writing.remove(service);
                    if (restartsBefore != restarts) {
                        synchronise();
                    } else if (result.isHeld()) {
                        applyWritten(entry, replacement);
                    } else if (result.present().isPresent()) {
                        applyConflict(result.present().get(), removes, writesLeft - 1);
                    } else {
                        retryLater();
                    }
                })
                .whenComplete((_done, failure) -> logFailure(failure));
    }

    private void applyWritten(RegisteredVersions before, RegisteredVersions written) {
        ServiceName service = written.service();
        remember(written);
        Sets.difference(before.lastPresent().keySet(), written.lastPresent().keySet())
                .forEach(version -> LOGGER.info(LogLine.of("version-removed")
                        .with("service", service.value())
                        .with("softwareVersion", version)));
        confirm(service, observed(service).confirmedBy(written), "write");
        finish(service);
    }

    private void applyConflict(RegisteredVersions found, boolean removes, int writesLeft) {
        addRegistered(found);
        remember(found);
        if (!isStoreLost) {
            settle(found, removes, writesLeft);
        }
    }

    private void remember(RegisteredVersions entry) {
        entries = ImmutableMap.<ServiceName, RegisteredVersions>builder()
                .putAll(entries)
                .put(entry.service(), entry)
                .buildKeepingLast();
    }

    /** Versions that appeared during a write need another one. */
    private void finish(ServiceName service) {
        servicesToRestore =
                Sets.difference(servicesToRestore, ImmutableSet.of(service)).immutableCopy();
        synchronise();
    }

    /** Versions that the entry names already are usable while their confirmation is renewed. */
    private void passOnNamed(RegisteredVersions entry) {
        ImmutableMap<Version, Presence> passedOn = present.change(
                (version, presence) -> presence.state() == State.HELD
                        && version.service().equals(entry.service())
                        && entry.lastPresent().containsKey(version.softwareVersion()),
                State.PASSED_ON_UNCONFIRMED);
        if (!passedOn.isEmpty()) {
            confirmationListener.run();
        }
    }

    private void confirm(ServiceName service, Set<String> confirmed, String source) {
        long now = timer.nanoTime();
        ImmutableMap<Version, Presence> changed = present.change(
                (version, _presence) ->
                        version.service().equals(service) && confirmed.contains(version.softwareVersion()),
                State.CONFIRMED);
        changed.forEach((version, before) -> LOGGER.info(LogLine.of("version-confirmed")
                .with("service", service.value())
                .with("softwareVersion", version.softwareVersion())
                .with("source", source)
                .with(
                        "heldMs",
                        before.state() == State.HELD
                                ? Duration.ofNanos(now - before.sinceNanos()).toMillis()
                                : 0)));
        if (!changed.isEmpty()) {
            confirmationListener.run();
        }
    }

    private static void logFailure(Throwable failure) {
        Optional.ofNullable(failure).ifPresent(cause -> LOGGER.error(LogLine.of("versions-update-failed"), cause));
    }

    private ImmutableSet<String> unconfirmed(ServiceName service) {
        return present.unconfirmed().stream()
                .filter(version -> version.service().equals(service))
                .map(Version::softwareVersion)
                .collect(ImmutableSet.toImmutableSet());
    }

    private ObservedVersions observed(ServiceName service) {
        long now = timer.nanoTime();
        return new ObservedVersions(
                present.of(service),
                versions.possible(service, now),
                versions.presentWithin(
                        service,
                        Math.max(
                                ObservedVersions.REMOVAL_AGE.toNanos(),
                                versions.windowNanos() + ObservedVersions.REMOVAL_MARGIN.toNanos()),
                        now),
                timer.now().toEpochMilli());
    }
}
