package org.cowslippick.scheduler.stream;

import com.google.common.collect.HashBasedTable;
import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSetMultimap;
import com.google.common.collect.Table;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.ServiceName;

/**
 * The software versions of each service that may have begun the streams that callers resume: those that are present, or
 * were within the longest time in which a caller can resume a stream.
 */
public final class ServiceVersions {

    /** Longer than any window, so that a window that is lengthened finds what was present within it. */
    private static final long MINIMUM_RETENTION_NANOS = Duration.ofMinutes(10).toNanos();

    private final LongSupplier windowNanos;
    private final Table<ServiceName, String, Long> lastPresentNanos = HashBasedTable.create();
    private ImmutableSetMultimap<ServiceName, String> present = ImmutableSetMultimap.of();
    private boolean isRegistryKnown;

    /** Creates an empty record; the supplier returns the longest time in which a caller can resume a stream. */
    public ServiceVersions(LongSupplier windowNanos) {
        this.windowNanos = windowNanos;
    }

    /** Replaces the endpoints; their versions are present until another update lacks them. */
    public void update(ImmutableCollection<LiveEndpoint> endpoints, long nowNanos) {
        recordPresent(nowNanos);
        present = endpoints.stream()
                .collect(ImmutableSetMultimap.toImmutableSetMultimap(
                        LiveEndpoint::service, LiveEndpoint::softwareVersion));
        recordPresent(nowNanos);
        long retention = Math.max(windowNanos.getAsLong(), MINIMUM_RETENTION_NANOS);
        lastPresentNanos.cellSet().removeIf(cell -> nowNanos - cell.getValue() > retention);
    }

    /** Records versions that the store's registry named as present at this moment. */
    public void addRegistered(ServiceName service, Set<String> versions, long nowNanos) {
        versions.forEach(version -> lastPresentNanos.put(service, version, nowNanos));
    }

    /** Records that {@link #addRegistered} has received all that the store's registry held at the start. */
    public void setRegistryKnown() {
        isRegistryKnown = true;
    }

    /** The longest time in which a caller can resume a stream. */
    public long windowNanos() {
        return windowNanos.getAsLong();
    }

    /** The versions that may have begun a stream that a caller resumes now. */
    public ImmutableSet<String> possible(ServiceName service, long nowNanos) {
        return presentWithin(service, windowNanos.getAsLong(), nowNanos);
    }

    /** The versions that are present, or were within the duration. */
    public ImmutableSet<String> presentWithin(ServiceName service, long durationNanos, long nowNanos) {
        return Stream.concat(
                        present.get(service).stream(),
                        lastPresentNanos.row(service).entrySet().stream()
                                .filter(entry -> nowNanos - entry.getValue() <= durationNanos)
                                .map(entry -> entry.getKey()))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** The version of all streams of the service; empty if the registry is not known, or there is not exactly one. */
    public Optional<String> only(ServiceName service, long nowNanos) {
        return Optional.of(possible(service, nowNanos))
                .filter(versions -> isRegistryKnown && versions.size() == 1)
                .map(versions -> versions.iterator().next());
    }

    /** Whether the streams of the service may be of several versions. */
    public boolean isMixed(ServiceName service, long nowNanos) {
        return possible(service, nowNanos).size() > 1;
    }

    private void recordPresent(long nowNanos) {
        present.forEach((service, version) -> lastPresentNanos.put(service, version, nowNanos));
    }
}
