package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.net.HostAndPort;
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
 * Tracks the live instances: those that are registered in the store and have reported recently. In a small fleet each
 * instance reports to all others; in a large one it reports to the collectors of its region, which report to all
 * others.
 */
public final class FleetMembership implements PeerDirectory {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.fleet");

    private final InstanceDirectory instances;
    private final TimerService timer;
    private final SharedQuotas quotas;
    private final LocalSlotQueues localQueues;
    private final StateSynchroniser stateSynchroniser;
    private final CollectorSelector collectorSelector;
    private final RegionAggregator aggregator;
    private final RegionViews views = new RegionViews();
    private final Consumer<Boolean> collectorRoleListener;
    private final Map<InstanceName, ReceivedReport> lastReports = new HashMap<>();
    private final Map<SlotPool, PoolLoad> loads = new HashMap<>();
    private final Map<InstanceName, RegionReport> otherRegions = new HashMap<>();
    private Optional<PeerNetwork> network = Optional.empty();
    private Predicate<SlotPool> owns = _pool -> true;
    private Runnable onMembersChanged = () -> {};
    private ImmutableMap<OrganisationName, Long> ownReportedUsage = ImmutableMap.of();
    private ImmutableMap<OrganisationName, Long> ownDiscountedUsage = ImmutableMap.of();
    private ImmutableSet<InstanceName> reportReceivers = ImmutableSet.of();
    private boolean usesCollectors;
    private boolean isCollector = true;
    private volatile ImmutableSet<InstanceName> live = ImmutableSet.of();
    private volatile ImmutableSet<InstanceName> serving = ImmutableSet.of();

    /**
     * Creates a membership that sends no reports until it is started.
     *
     * @param incarnation the incarnation of this instance's process
     * @param collectorRoleListener called with whether this instance must read the store for others
     */
    public FleetMembership(
            InstanceDirectory instances,
            Incarnation incarnation,
            TimerService timer,
            SharedQuotas quotas,
            LocalSlotQueues localQueues,
            StateSynchroniser stateSynchroniser,
            Consumer<Boolean> collectorRoleListener) {
        this.instances = instances;
        this.timer = timer;
        this.quotas = quotas;
        this.localQueues = localQueues;
        this.stateSynchroniser = stateSynchroniser;
        this.collectorRoleListener = collectorRoleListener;
        this.collectorSelector =
                new CollectorSelector(instances.self().name(), () -> ReportSchedule.collectorTimeout(otherCount()));
        this.aggregator = new RegionAggregator(instances.self(), incarnation);
        instances.setServingPredicate(this::serves);
    }

    /** Starts to send and receive reports. */
    void start(PeerNetwork peers, Predicate<SlotPool> ownership, Runnable onChange) {
        network = Optional.of(peers);
        owns = ownership;
        onMembersChanged = onChange;
        peers.subscribe(InstanceReport.class, this::received);
        peers.subscribe(FleetReport.class, this::received);
        peers.addListener(new PeerListener() {
            @Override
            public void connected(InstanceName _peer) {}

            @Override
            public void disconnected(InstanceName peer) {
                collectorSelector.connectionLost(peer, timer.nanoTime());
            }
        });
        stateSynchroniser.start(peers);
        runReportCycle();
    }

    @Override
    public Optional<HostAndPort> peerAddress(InstanceName name) {
        return instances.others().stream()
                .filter(instance -> instance.name().equals(name))
                .map(Instance::peerAddress)
                .findFirst();
    }

    /** The live instances, including this one. */
    ImmutableList<Instance> members() {
        return ImmutableList.<Instance>builder()
                .add(instances.self())
                .addAll(instances.others().stream()
                        .filter(instance -> live.contains(instance.name()))
                        .iterator())
                .build();
    }

    /** The number of live instances, including this one. */
    public int memberCount() {
        return members().size();
    }

    /** The number of registered instances, including this one and those that are silent. */
    int registeredCount() {
        return instances.all().size();
    }

    /** Whether this instance reads the store for others. */
    public boolean isCollector() {
        return isCollector;
    }

    public long ownedPoolCount() {
        return localQueues.pools().stream().filter(owns).count();
    }

    /** The instances that this one reports to; empty until the first report. */
    ImmutableSet<InstanceName> reportReceivers() {
        return reportReceivers;
    }

    /** Whether others learn the state of their peers through this instance. */
    boolean forwardsState() {
        return usesCollectors && isCollector;
    }

    /** The load of a pool as last reported by its owner. */
    Optional<PoolLoad> load(SlotPool pool) {
        return Optional.ofNullable(loads.get(pool));
    }

    /**
     * Whether callers may be directed to another instance. If none is live, this instance is the one partitioned off,
     * and callers may be directed to any.
     */
    private boolean serves(InstanceName name) {
        return serving.contains(name) || live.isEmpty();
    }

    private void runReportCycle() {
        ImmutableList<Instance> others = instances.others();
        timer.schedule(ReportSchedule.period(others.size()), this::runReportCycle);
        usesCollectors = ReportSchedule.usesCollectors(others.size());
        InstanceReport report = report();
        ImmutableList<Instance> localCollectors = localCollectors();
        ImmutableSet<InstanceName> receivers = namesOfOthers(usesCollectors ? localCollectors : others);
        network.ifPresent(peers -> receivers.forEach(receiver -> peers.send(receiver, report)));
        ownReportedUsage = usage(report);
        setCollector(!usesCollectors || localCollectors.stream().anyMatch(this::isSelf) || stateSynchroniser.isStuck());
        reportReceivers = receivers;
        if (forwardsState()) {
            ImmutableSet<InstanceName> members = regionMembers();
            ImmutableSet<InstanceName> collectors = remoteCollectors();
            reportRegion(report, members, collectors);
            reportReceivers = ImmutableSet.<InstanceName>builder()
                    .addAll(receivers)
                    .addAll(members)
                    .addAll(collectors)
                    .build();
        }
        refresh(others);
        stateSynchroniser.compare(versions());
        quotas.setShare((1.0 + live.size()) / (1.0 + others.size()));
    }

    private boolean isSelf(Instance instance) {
        return instance.name().equals(instances.self().name());
    }

    private ImmutableList<Instance> localCollectors() {
        return usesCollectors
                ? collectorSelector.selectMonitored(
                        instances.all(), instances.self().region(), timer.nanoTime())
                : ImmutableList.of();
    }

    private void setCollector(boolean isSelected) {
        if (isCollector != isSelected) {
            isCollector = isSelected;
            LOGGER.info(LogLine.of("collecting-changed").with("collects", isSelected));
            collectorRoleListener.accept(isSelected);
        }
    }

    /** Sends the aggregated report of the region to its members and to the collectors of other regions. */
    private void reportRegion(
            InstanceReport own, ImmutableSet<InstanceName> localMembers, ImmutableSet<InstanceName> collectors) {
        long now = timer.nanoTime();
        ImmutableMap<RegionReport.Member, InstanceReport> members = recentReports(now)
                .collect(ImmutableMap.toImmutableMap(
                        entry -> new RegionReport.Member(
                                entry.identity().name(), entry.report().serving()),
                        ReceivedReport::report));
        RegionReport region = aggregator.report(stateSynchroniser.versions(), own, members);
        FleetReport localReport = new FleetReport(
                stateSynchroniser.isStoreUnavailable(),
                ImmutableList.<RegionReport>builder()
                        .add(region)
                        .addAll(otherRegions.values())
                        .build());
        otherRegions.clear();
        FleetReport remoteReport = new FleetReport(stateSynchroniser.isStoreUnavailable(), ImmutableList.of(region));
        network.ifPresent(peers -> {
            localMembers.forEach(member -> peers.send(member, localReport));
            collectors.forEach(collector -> peers.send(collector, remoteReport));
        });
    }

    private ImmutableSet<InstanceName> regionMembers() {
        return namesOfOthers(instances.all().stream()
                .filter(instance -> instance.region().equals(instances.self().region()))
                .collect(ImmutableList.toImmutableList()));
    }

    private ImmutableSet<InstanceName> remoteCollectors() {
        ImmutableList<Instance> all = instances.all();
        return namesOfOthers(all.stream()
                .map(Instance::region)
                .distinct()
                .filter(other -> !other.equals(instances.self().region()))
                .flatMap(other -> collectorSelector.select(all, other, timer.nanoTime()).stream())
                .collect(ImmutableList.toImmutableList()));
    }

    /** The names of the given instances without this one. */
    private ImmutableSet<InstanceName> namesOfOthers(ImmutableList<Instance> given) {
        return given.stream()
                .filter(instance -> !isSelf(instance))
                .map(Instance::name)
                .collect(ImmutableSet.toImmutableSet());
    }

    private ImmutableMap<InstanceName, StateVersions> versions() {
        long now = timer.nanoTime();
        Map<InstanceName, StateVersions> known = new HashMap<>(views.versions(now));
        recentReports(now)
                .forEach(entry -> known.putIfAbsent(
                        entry.identity().name(), entry.report().versions()));
        return ImmutableMap.copyOf(known);
    }

    /** Excludes outdated reports: from the time when the fleet was small, or of instances that have left. */
    private Stream<ReceivedReport> recentReports(long nowNanos) {
        long timeoutNanos = ReportSchedule.timeout(otherCount()).toNanos();
        return lastReports.values().stream().filter(entry -> nowNanos - entry.atNanos() <= timeoutNanos);
    }

    private int otherCount() {
        return instances.others().size();
    }

    private InstanceReport report() {
        return new InstanceReport(
                instances.isSelfServing(),
                stateSynchroniser.versions(),
                quotas.localUsage().entrySet().stream()
                        .map(entry -> new InstanceReport.Usage(entry.getKey(), entry.getValue()))
                        .collect(ImmutableList.toImmutableList()),
                localQueues.pools().stream()
                        .filter(owns)
                        .map(pool -> new InstanceReport.OwnedPool(pool, localQueues.load(pool)))
                        .collect(ImmutableList.toImmutableList()));
    }

    private void received(PeerIdentity sender, InstanceReport report) {
        ReceivedReport before = lastReports.get(sender.name());
        lastReports.put(sender.name(), new ReceivedReport(sender, report, timer.nanoTime()));
        report.pools().forEach(pool -> loads.put(pool.pool(), pool.load()));
        boolean restarted = before != null && !before.identity().incarnation().equals(sender.incarnation());
        if (restarted) {
            LOGGER.info(
                    LogLine.of("instance-restarted").with("name", sender.name().value()));
            localQueues.removeInstance(sender.name());
        }
        if (before != null) {
            countUsage(report, restarted ? ImmutableMap.of() : usage(before.report()));
        }
        if (before == null || restarted || before.report().serving() != report.serving()) {
            refresh(instances.others());
        }
    }

    /** Counts reported usage in the local quotas, and in the totals that this instance reports as a collector. */
    private void countUsage(InstanceReport report, ImmutableMap<OrganisationName, Long> before) {
        report.usage().forEach(usage -> {
            long increase = usage.used() - before.getOrDefault(usage.organisation(), 0L);
            if (!usesCollectors || isCollector) {
                quotas.addRemoteUsage(usage.organisation(), increase);
            }
            aggregator.addUsage(usage.organisation(), increase);
        });
    }

    private void received(PeerIdentity sender, FleetReport report) {
        if (collectorSelector.recordReport(sender.name(), report.storeUnavailable(), timer.nanoTime())) {
            stateSynchroniser.othersRegainedStore();
        }
        report.regions().forEach(this::received);
        // Reports relayed by another collector are not forwarded, which prevents loops.
        report.regions().stream()
                .filter(region -> region.collector().equals(sender.name()))
                .filter(region -> !region.region().equals(instances.self().region()))
                .forEach(region -> otherRegions.put(region.collector(), region));
    }

    private void received(RegionReport report) {
        long now = timer.nanoTime();
        Region localRegion = instances.self().region();
        ImmutableMap<OrganisationName, Long> used = views.received(report, now);
        report.pools().forEach(pool -> loads.put(pool.pool(), pool.load()));
        if (!report.region().equals(localRegion)) {
            used.forEach(quotas::addRemoteUsage);
        } else if (usesCollectors && !isCollector) {
            used.forEach(quotas::addRemoteUsage);
            discountOwnUsage();
        }
    }

    /** Subtracts this instance's own usage from the region's total, as the quotas include it already. */
    private void discountOwnUsage() {
        ownReportedUsage.forEach((organisation, total) ->
                quotas.addRemoteUsage(organisation, ownDiscountedUsage.getOrDefault(organisation, 0L) - total));
        ownDiscountedUsage = ownReportedUsage;
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
                        recentReports(now)
                                .map(entry -> new RegionReport.Member(
                                        entry.identity().name(), entry.report().serving())))
                .filter(member -> registered.contains(member.name()))
                .collect(ImmutableSet.toImmutableSet());
        ImmutableSet<InstanceName> nowLive =
                present.stream().map(RegionReport.Member::name).collect(ImmutableSet.toImmutableSet());
        ImmutableSet<InstanceName> notServing = present.stream()
                .filter(member -> !member.serving())
                .map(RegionReport.Member::name)
                .collect(ImmutableSet.toImmutableSet());
        serving = nowLive.stream().filter(name -> !notServing.contains(name)).collect(ImmutableSet.toImmutableSet());
        if (!nowLive.equals(live)) {
            log(nowLive);
            live.stream().filter(name -> !nowLive.contains(name)).forEach(localQueues::removeInstance);
            live = nowLive;
            onMembersChanged.run();
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

    private record ReceivedReport(PeerIdentity identity, InstanceReport report, long atNanos) {}
}
