package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.peer.PeerDirectory;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerListener;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.relay.limit.SharedQuotas;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.slot.LocalSlotQueues;
import org.cowslippick.relay.state.InstanceDirectory;
import org.cowslippick.scheduler.slot.PoolLoad;
import org.cowslippick.scheduler.slot.SlotPool;
import org.jboss.logging.Logger;

/**
 * Knows which instances are there: those that the store names and that reported lately. In a small fleet each instance
 * reports to all others. In a large one each reports to the collectors of its region, which tell all others.
 */
public final class FleetMembership implements PeerDirectory {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.fleet");

    /** Up to so many others, reports to all of them cost less than collecting them, and arrive sooner. */
    private static final int MOST_OTHERS_REPORTED_TO = 12;

    private static final Duration DIRECT_PERIOD = Duration.ofMillis(100);

    /** Doubles with the fleet from 128 instances on, so that a collector's cost grows slower than the fleet. */
    private static final Duration COLLECTED_PERIOD = Duration.ofMillis(250);

    private static final int INSTANCES_AT_COLLECTED_PERIOD = 128;
    private static final Duration SHORTEST_SILENCE = Duration.ofMillis(800);
    private static final int PERIODS_OF_SILENCE = 3;

    private final InstanceDirectory instances;
    private final TimerService timer;
    private final SharedQuotas quotas;
    private final LocalSlotQueues localQueues;
    private final StateSynchroniser briefings;
    private final CollectorSelector collectors;
    private final RegionAggregator collector;
    private final RegionViews views = new RegionViews();
    private final Consumer<Boolean> collecting;
    private final Map<InstanceName, Heard> heard = new HashMap<>();
    private final Map<SlotPool, PoolLoad> loads = new HashMap<>();
    private final Map<InstanceName, RegionReport> otherRegions = new HashMap<>();
    private Optional<PeerNetwork> network = Optional.empty();
    private Predicate<SlotPool> owns = _pool -> true;
    private Runnable changed = () -> {};
    private ImmutableMap<OrganisationName, Long> ownReported = ImmutableMap.of();
    private ImmutableMap<OrganisationName, Long> ownCounted = ImmutableMap.of();
    private boolean large;
    private boolean collects = true;
    private volatile ImmutableSet<InstanceName> live = ImmutableSet.of();
    private volatile ImmutableSet<InstanceName> serving = ImmutableSet.of();

    /**
     * Creates the part.
     *
     * @param incarnation the life of this instance's process
     * @param collecting hears whether this instance is to read the store for others
     */
    public FleetMembership(
            InstanceDirectory instances,
            Incarnation incarnation,
            TimerService timer,
            SharedQuotas quotas,
            LocalSlotQueues localQueues,
            StateSynchroniser briefings,
            Consumer<Boolean> collecting) {
        this.instances = instances;
        this.timer = timer;
        this.quotas = quotas;
        this.localQueues = localQueues;
        this.briefings = briefings;
        this.collecting = collecting;
        this.collectors = new CollectorSelector(instances.self().name());
        this.collector = new RegionAggregator(instances.self(), incarnation);
        instances.setServingPredicate(this::serves);
    }

    /** Starts to report and to listen. */
    void start(PeerNetwork peers, Predicate<SlotPool> ownership, Runnable onChange) {
        network = Optional.of(peers);
        owns = ownership;
        changed = onChange;
        peers.subscribe(InstanceReport.class, this::received);
        peers.subscribe(FleetReport.class, this::received);
        peers.listen(new PeerListener() {
            @Override
            public void connected(InstanceName _peer) {}

            @Override
            public void disconnected(InstanceName peer) {
                collectors.lost(peer, timer.nanoTime());
            }
        });
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
        return Optional.ofNullable(loads.get(pool));
    }

    /** Whether callers may be sent to another instance; if nobody is heard, this instance is the one cut off. */
    private boolean serves(InstanceName name) {
        return serving.contains(name) || live.isEmpty();
    }

    private void tick() {
        ImmutableList<Instance> others = instances.others();
        large = others.size() > MOST_OTHERS_REPORTED_TO;
        InstanceReport report = report();
        ImmutableList<Instance> near = collectorsHere();
        network.ifPresent(peers -> (large ? near : others)
                .stream()
                        .filter(instance -> !isSelf(instance))
                        .forEach(instance -> peers.send(instance.name(), report)));
        ownReported = usage(report);
        collect(!large || near.stream().anyMatch(this::isSelf) || briefings.isStuck());
        if (large && collects) {
            tellAll(report);
        }
        refresh(others);
        briefings.compare(versions());
        quotas.setShare((1.0 + live.size()) / (1.0 + others.size()));
        timer.after(period(others.size()), this::tick);
    }

    private boolean isSelf(Instance instance) {
        return instance.name().equals(instances.self().name());
    }

    private ImmutableList<Instance> collectorsHere() {
        return large
                ? collectors.expected(instances.all(), instances.self().region(), timer.nanoTime())
                : ImmutableList.of();
    }

    private void collect(boolean wanted) {
        if (collects != wanted) {
            collects = wanted;
            LOGGER.info(LogLine.of("collecting-changed").with("collects", wanted));
            collecting.accept(wanted);
        }
    }

    /** Reports the region to its members and to the collectors of other regions. */
    private void tellAll(InstanceReport own) {
        long now = timer.nanoTime();
        ImmutableMap<RegionReport.Member, InstanceReport> members = heardLately(now)
                .collect(ImmutableMap.toImmutableMap(
                        entry -> new RegionReport.Member(
                                entry.identity().name(), entry.report().serving()),
                        Heard::report));
        RegionReport region = collector.report(briefings.versions(), own, members);
        Region home = instances.self().region();
        FleetReport near = new FleetReport(
                briefings.isStoreUnavailable(),
                ImmutableList.<RegionReport>builder()
                        .add(region)
                        .addAll(otherRegions.values())
                        .build());
        otherRegions.clear();
        FleetReport far = new FleetReport(briefings.isStoreUnavailable(), ImmutableList.of(region));
        ImmutableList<Instance> all = instances.all();
        network.ifPresent(peers -> {
            all.stream()
                    .filter(instance -> instance.region().equals(home) && !isSelf(instance))
                    .forEach(instance -> peers.send(instance.name(), near));
            all.stream()
                    .map(Instance::region)
                    .distinct()
                    .filter(other -> !other.equals(home))
                    .flatMap(other -> collectors.of(all, other, now).stream())
                    .forEach(instance -> peers.send(instance.name(), far));
        });
    }

    private ImmutableMap<InstanceName, StateVersions> versions() {
        long now = timer.nanoTime();
        Map<InstanceName, StateVersions> known = new HashMap<>(views.versions(now));
        heardLately(now)
                .forEach(entry -> known.putIfAbsent(
                        entry.identity().name(), entry.report().versions()));
        return ImmutableMap.copyOf(known);
    }

    /** Reports of a time when the fleet was small, or of instances that are gone, say nothing of now. */
    private Stream<Heard> heardLately(long nowNanos) {
        long silence = silence().toNanos();
        return heard.values().stream().filter(entry -> nowNanos - entry.atNanos() <= silence);
    }

    private static Duration period(int others) {
        return others <= MOST_OTHERS_REPORTED_TO
                ? DIRECT_PERIOD
                : COLLECTED_PERIOD.multipliedBy(1 + others / INSTANCES_AT_COLLECTED_PERIOD);
    }

    private Duration silence() {
        Duration periods = period(instances.others().size()).multipliedBy(PERIODS_OF_SILENCE);
        return periods.compareTo(SHORTEST_SILENCE) > 0 ? periods : SHORTEST_SILENCE;
    }

    private InstanceReport report() {
        return new InstanceReport(
                instances.isSelfServing(),
                briefings.versions(),
                quotas.localUsage().entrySet().stream()
                        .map(entry -> new InstanceReport.Usage(entry.getKey(), entry.getValue()))
                        .collect(ImmutableList.toImmutableList()),
                localQueues.pools().stream()
                        .filter(owns)
                        .map(pool -> new InstanceReport.OwnedPool(pool, localQueues.load(pool)))
                        .collect(ImmutableList.toImmutableList()));
    }

    private void received(PeerIdentity sender, InstanceReport report) {
        Heard before = heard.get(sender.name());
        heard.put(sender.name(), new Heard(sender, report, timer.nanoTime()));
        report.pools().forEach(pool -> loads.put(pool.pool(), pool.load()));
        boolean restarted = before != null && !before.identity().incarnation().equals(sender.incarnation());
        if (restarted) {
            LOGGER.info(
                    LogLine.of("instance-restarted").with("name", sender.name().value()));
            localQueues.removeInstance(sender.name());
        }
        if (before != null) {
            count(report, restarted ? ImmutableMap.of() : usage(before.report()));
        }
        if (before == null || restarted || before.report().serving() != report.serving()) {
            refresh(instances.others());
        }
    }

    /** Counts the use of a quota elsewhere: as this instance's own knowledge, and for those to whom it reports. */
    private void count(InstanceReport report, ImmutableMap<OrganisationName, Long> before) {
        report.usage().forEach(usage -> {
            long more = usage.used() - before.getOrDefault(usage.organisation(), 0L);
            if (!large || collects) {
                quotas.addRemoteUsage(usage.organisation(), more);
            }
            collector.used(usage.organisation(), more);
        });
    }

    private void received(PeerIdentity sender, FleetReport report) {
        collectors.heard(sender.name(), report.storeUnavailable(), timer.nanoTime());
        report.regions().forEach(this::received);
        // What reached this instance over another collector is not passed on, so that no report goes in circles.
        report.regions().stream()
                .filter(region -> region.collector().equals(sender.name()))
                .filter(region -> !region.region().equals(instances.self().region()))
                .forEach(region -> otherRegions.put(region.collector(), region));
    }

    private void received(RegionReport report) {
        long now = timer.nanoTime();
        Region home = instances.self().region();
        ImmutableMap<OrganisationName, Long> used = views.received(report, now);
        report.pools().forEach(pool -> loads.put(pool.pool(), pool.load()));
        if (!report.region().equals(home)) {
            used.forEach(quotas::addRemoteUsage);
        } else if (large && !collects) {
            used.forEach(quotas::addRemoteUsage);
            withoutOwn();
        }
    }

    /** The total of this instance's region holds its own use too, which was taken from the quotas already. */
    private void withoutOwn() {
        ownReported.forEach((organisation, total) ->
                quotas.addRemoteUsage(organisation, ownCounted.getOrDefault(organisation, 0L) - total));
        ownCounted = ownReported;
    }

    private static ImmutableMap<OrganisationName, Long> usage(InstanceReport report) {
        return report.usage().stream()
                .collect(ImmutableMap.toImmutableMap(InstanceReport.Usage::organisation, InstanceReport.Usage::used));
    }

    private void refresh(ImmutableList<Instance> others) {
        long now = timer.nanoTime();
        ImmutableSet<InstanceName> registered =
                others.stream().map(Instance::name).collect(ImmutableSet.toImmutableSet());
        ImmutableSet<RegionReport.Member> present = Stream.concat(
                        views.members(now).stream(),
                        heardLately(now)
                                .map(entry -> new RegionReport.Member(
                                        entry.identity().name(), entry.report().serving())))
                .filter(member -> registered.contains(member.name()))
                .collect(ImmutableSet.toImmutableSet());
        ImmutableSet<InstanceName> nowLive =
                present.stream().map(RegionReport.Member::name).collect(ImmutableSet.toImmutableSet());
        ImmutableSet<InstanceName> stopping = present.stream()
                .filter(member -> !member.serving())
                .map(RegionReport.Member::name)
                .collect(ImmutableSet.toImmutableSet());
        serving = nowLive.stream().filter(name -> !stopping.contains(name)).collect(ImmutableSet.toImmutableSet());
        if (!nowLive.equals(live)) {
            log(nowLive);
            live.stream().filter(name -> !nowLive.contains(name)).forEach(localQueues::removeInstance);
            live = nowLive;
            changed.run();
        }
    }

    private void log(ImmutableSet<InstanceName> nowLive) {
        LOGGER.info(LogLine.of("members-changed")
                .with("live", nowLive.size())
                .with("joined", names(Sets.difference(nowLive, live)))
                .with("left", names(Sets.difference(live, nowLive))));
    }

    private static String names(Set<InstanceName> names) {
        return String.join(",", names.stream().map(InstanceName::value).sorted().toList());
    }

    private record Heard(PeerIdentity identity, InstanceReport report, long atNanos) {}
}
