package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.fleet.peer.PeerDirectory;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.relay.limit.SharedQuotas;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.slot.OwnedSlots;
import org.cowslippick.relay.state.InstanceBook;
import org.cowslippick.relay.state.RoutingState;
import org.cowslippick.scheduler.slot.PoolLoad;
import org.cowslippick.scheduler.slot.SlotPool;
import org.jboss.logging.Logger;

/**
 * Knows which instances are there: those that the store names and that reported lately. Reports carry what all need to
 * know of each other, so that no other message is sent without a request.
 */
public final class Fleet implements PeerDirectory {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.fleet");

    /** A few instances report ten times a second; the period grows with their number, so that the cost does not. */
    private static final Duration SHORTEST_PERIOD = Duration.ofMillis(100);

    private static final int INSTANCES_AT_SHORTEST_PERIOD = 8;
    private static final Duration SHORTEST_SILENCE = Duration.ofMillis(800);
    private static final int PERIODS_OF_SILENCE = 3;

    private final InstanceBook instances;
    private final TimerService timer;
    private final RoutingState routing;
    private final SharedQuotas quotas;
    private final OwnedSlots owned;
    private final Briefings briefings;
    private final Map<InstanceName, Heard> heard = new HashMap<>();
    private Optional<PeerNetwork> network = Optional.empty();
    private Function<SlotPool, Boolean> owns = _pool -> true;
    private Runnable changed = () -> {};
    private volatile ImmutableSet<InstanceName> live = ImmutableSet.of();
    private volatile ImmutableSet<InstanceName> serving = ImmutableSet.of();

    public Fleet(
            InstanceBook instances,
            TimerService timer,
            RoutingState routing,
            SharedQuotas quotas,
            OwnedSlots owned,
            Briefings briefings) {
        this.instances = instances;
        this.timer = timer;
        this.routing = routing;
        this.quotas = quotas;
        this.owned = owned;
        this.briefings = briefings;
        instances.judge(this::serves);
    }

    /** Starts to report and to listen. */
    void start(PeerNetwork peers, Function<SlotPool, Boolean> ownership, Runnable onChange) {
        network = Optional.of(peers);
        owns = ownership;
        changed = onChange;
        peers.subscribe(InstanceReport.class, this::received);
        briefings.start(peers);
        tick();
    }

    @Override
    public Optional<HostAndPort> peerAddress(InstanceName name) {
        return instances.others().stream()
                .filter(instance -> instance.name().equals(name))
                .map(Instance::peerAddress)
                .findFirst();
    }

    /** Instances that take part, this one included. */
    ImmutableList<Instance> members() {
        return ImmutableList.<Instance>builder()
                .add(instances.self())
                .addAll(instances.others().stream()
                        .filter(instance -> live.contains(instance.name()))
                        .iterator())
                .build();
    }

    /** How busy a pool is, as its owner last said. */
    Optional<PoolLoad> load(SlotPool pool) {
        return heard.values().stream()
                .filter(entry -> live.contains(entry.identity().name()))
                .flatMap(entry -> entry.report().pools().stream())
                .filter(pools -> pools.pool().equals(pool))
                .map(InstanceReport.OwnedPool::load)
                .findFirst();
    }

    /** Whether callers may be sent to another instance; if nobody is heard, this instance is the one cut off. */
    private boolean serves(InstanceName name) {
        return serving.contains(name) || live.isEmpty();
    }

    private void tick() {
        ImmutableList<Instance> others = instances.others();
        InstanceReport report = report();
        network.ifPresent(peers -> others.forEach(other -> peers.send(other.name(), report)));
        refresh(others);
        briefings.compare(reports());
        quotas.share((1.0 + live.size()) / (1.0 + others.size()));
        timer.after(period(others.size()), this::tick);
    }

    private ImmutableMap<InstanceName, InstanceReport> reports() {
        return heard.entrySet().stream()
                .filter(entry -> live.contains(entry.getKey()))
                .collect(ImmutableMap.toImmutableMap(
                        Map.Entry::getKey, entry -> entry.getValue().report()));
    }

    private static Duration period(int others) {
        return SHORTEST_PERIOD.multipliedBy(Math.max(1, others / INSTANCES_AT_SHORTEST_PERIOD));
    }

    private InstanceReport report() {
        return new InstanceReport(
                instances.isSelfServing(),
                routing.current().version(),
                briefings.endpointsRevision(),
                quotas.usedHere().entrySet().stream()
                        .map(entry -> new InstanceReport.Usage(entry.getKey(), entry.getValue()))
                        .collect(ImmutableList.toImmutableList()),
                owned.pools().stream()
                        .filter(owns::apply)
                        .map(pool -> new InstanceReport.OwnedPool(pool, owned.load(pool)))
                        .collect(ImmutableList.toImmutableList()));
    }

    private void received(PeerIdentity sender, InstanceReport report) {
        Heard before = heard.get(sender.name());
        heard.put(sender.name(), new Heard(sender, report, timer.nanoTime()));
        boolean restarted = before != null && !before.identity().incarnation().equals(sender.incarnation());
        if (restarted) {
            LOGGER.info(
                    LogLine.of("instance-restarted").with("name", sender.name().value()));
            owned.forget(sender.name());
        }
        if (before != null) {
            count(report, restarted ? ImmutableMap.of() : before.usage());
        }
        if (before == null || restarted || before.report().serving() != report.serving()) {
            refresh(instances.others());
        }
    }

    private void count(InstanceReport report, ImmutableMap<OrganisationName, Long> before) {
        report.usage()
                .forEach(usage -> quotas.usedElsewhere(
                        usage.organisation(), usage.used() - before.getOrDefault(usage.organisation(), 0L)));
    }

    private void refresh(ImmutableList<Instance> others) {
        long now = timer.nanoTime();
        long silence = Math.max(
                SHORTEST_SILENCE.toNanos(),
                PERIODS_OF_SILENCE * period(others.size()).toNanos());
        ImmutableSet<InstanceName> registered =
                others.stream().map(Instance::name).collect(ImmutableSet.toImmutableSet());
        ImmutableSet<InstanceName> nowLive = heard.values().stream()
                .filter(entry -> now - entry.atNanos() <= silence)
                .map(entry -> entry.identity().name())
                .filter(registered::contains)
                .collect(ImmutableSet.toImmutableSet());
        serving = nowLive.stream()
                .filter(name -> heard.get(name).report().serving())
                .collect(ImmutableSet.toImmutableSet());
        if (!nowLive.equals(live)) {
            log(nowLive);
            live.stream().filter(name -> !nowLive.contains(name)).forEach(owned::forget);
            live = nowLive;
            changed.run();
        }
    }

    private void log(ImmutableSet<InstanceName> nowLive) {
        LOGGER.info(LogLine.of("members-changed")
                .with(
                        "live",
                        String.join(
                                ",", nowLive.stream().map(InstanceName::value).toList()))
                .with(
                        "before",
                        String.join(",", live.stream().map(InstanceName::value).toList())));
    }

    private record Heard(PeerIdentity identity, InstanceReport report, long atNanos) {

        ImmutableMap<OrganisationName, Long> usage() {
            return report.usage().stream()
                    .collect(ImmutableMap.toImmutableMap(
                            InstanceReport.Usage::organisation, InstanceReport.Usage::used));
        }
    }
}
