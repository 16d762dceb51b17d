package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.util.Optional;
import java.util.function.BiPredicate;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.ServiceName;

/** The versions of streamed services that have endpoints, and how far their registration has come. */
final class PresentVersions {

    private ImmutableMap<Version, Presence> presences = ImmutableMap.of();

    /** Replaces the versions and returns the added ones, which are held back at first. */
    ImmutableSet<Version> replace(ImmutableSet<Version> versions, long nowNanos) {
        ImmutableSet<Version> added = versions.stream()
                .filter(version -> !presences.containsKey(version))
                .collect(ImmutableSet.toImmutableSet());
        presences = Maps.toMap(versions, version -> Optional.ofNullable(presences.get(version))
                .orElseGet(() -> new Presence(nowNanos, State.HELD)));
        return added;
    }

    /** Puts the selected versions into the state and returns what changed, as it was before. */
    ImmutableMap<Version, Presence> change(BiPredicate<Version, Presence> selected, State state) {
        ImmutableMap<Version, Presence> changed = ImmutableMap.copyOf(Maps.filterEntries(
                presences,
                entry -> entry.getValue().state() != state && selected.test(entry.getKey(), entry.getValue())));
        presences = ImmutableMap.copyOf(Maps.transformEntries(
                presences,
                (version, presence) ->
                        changed.containsKey(version) ? new Presence(presence.sinceNanos(), state) : presence));
        return changed;
    }

    boolean isHeld(Version version) {
        return Optional.ofNullable(presences.get(version))
                .filter(presence -> presence.state() == State.HELD)
                .isPresent();
    }

    ImmutableSet<String> of(ServiceName service) {
        return presences.keySet().stream()
                .filter(version -> version.service().equals(service))
                .map(Version::softwareVersion)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Those whose registration is not confirmed. */
    ImmutableSet<Version> unconfirmed() {
        return Maps.filterValues(presences, presence -> presence.state() != State.CONFIRMED).keySet().stream()
                .collect(ImmutableSet.toImmutableSet());
    }

    /** A software version of a service. */
    record Version(ServiceName service, String softwareVersion) {

        static Version of(LiveEndpoint endpoint) {
            return new Version(endpoint.service(), endpoint.softwareVersion());
        }
    }

    /** How far the registration of a version has come. */
    enum State {
        HELD,
        PASSED_ON_UNCONFIRMED,
        CONFIRMED
    }

    /** One uninterrupted presence of a version. */
    record Presence(long sinceNanos, State state) {}
}
