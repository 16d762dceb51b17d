package org.cowslippick.fleet.limit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.cowslippick.core.settings.Limits;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.TierName;
import org.cowslippick.fleet.limit.LimitMessages.Demands;
import org.cowslippick.fleet.limit.LimitMessages.Shares;
import org.cowslippick.fleet.membership.Member;
import org.cowslippick.fleet.membership.MembershipSource;
import org.cowslippick.fleet.ownership.Ownership;
import org.cowslippick.fleet.ownership.PartitionKey;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.scheduler.limit.Demand;
import org.cowslippick.scheduler.limit.DemandReport;
import org.cowslippick.scheduler.limit.LimitShare;
import org.cowslippick.scheduler.limit.ShareAllocator;

/**
 * Divides the limits of each scope among the entries by demand. Every half second an entry reports its callers' demand
 * to the owner of the scope, and the owner sends all live entries their shares. An equal share is reserved for each
 * suspected member, so that the shares in use never add up to more than the limit.
 */
public final class LimitExchange implements AutoCloseable {

    private static final Duration EXCHANGE_PERIOD = Duration.ofMillis(500);
    private static final Duration REPORT_TIME_TO_LIVE = Duration.ofSeconds(2);
    private static final int PARTITION_COUNT = 256;
    private static final String PARTITION_KIND = "limits";

    private final InstanceName self;
    private final LocalLimits localLimits;
    private final PeerNetwork network;
    private final MembershipSource membership;
    private final Supplier<SettingsTree> settings;
    private final TimerService timer;
    private final Map<SectionName, Map<InstanceName, TimedReport>> reports = new ConcurrentHashMap<>();
    private final ImmutableList<Subscription> subscriptions;

    /** Starts the periodic exchange of demand and shares. */
    public LimitExchange(
            InstanceName self,
            LocalLimits localLimits,
            PeerNetwork network,
            MembershipSource membership,
            Supplier<SettingsTree> settings,
            TimerService timer) {
        this.self = self;
        this.localLimits = localLimits;
        this.network = network;
        this.membership = membership;
        this.settings = settings;
        this.timer = timer;
        this.subscriptions = ImmutableList.of(
                network.subscribe(Demands.class, (_sender, message) -> storeReports(message)),
                network.subscribe(
                        Shares.class, (_sender, message) -> message.shares().forEach(localLimits::apply)),
                timer.scheduleWithFixedDelay(EXCHANGE_PERIOD, this::exchange));
    }

    @Override
    public void close() {
        subscriptions.forEach(Subscription::cancel);
    }

    private void exchange() {
        reportDemand();
        sendShares();
    }

    private void reportDemand() {
        Ownership ownership = new Ownership(membership.current());
        ImmutableListMultimap<InstanceName, DemandReport> byOwner = localLimits.demand().stream()
                .collect(ImmutableListMultimap.toImmutableListMultimap(
                        report -> ownerOf(ownership, report.scope()), report -> report));
        byOwner.asMap().forEach((owner, owned) -> network.send(owner, new Demands(ImmutableList.copyOf(owned))));
    }

    private void storeReports(Demands message) {
        long now = timer.nanoTime();
        message.reports().forEach(report -> reports.computeIfAbsent(report.scope(), _scope -> new ConcurrentHashMap<>())
                .put(report.entry(), new TimedReport(report, now)));
    }

    private void sendShares() {
        long now = timer.nanoTime();
        reports.values().forEach(entries -> entries.values().removeIf(report -> !report.isFresh(now)));
        reports.values().removeIf(Map::isEmpty);
        ImmutableListMultimap<InstanceName, LimitShare> shares = reports.entrySet().stream()
                .flatMap(scope -> findLimits(scope.getKey()).stream()
                        .flatMap(limits -> allocateShares(limits, scope.getValue()).stream()))
                .collect(ImmutableListMultimap.toImmutableListMultimap(LimitShare::entry, share -> share));
        shares.asMap().forEach((entry, own) -> network.send(entry, new Shares(ImmutableList.copyOf(own))));
    }

    /** Allocates the shares of all live members, assuming no demand at members without a report. */
    private ImmutableList<LimitShare> allocateShares(Limits limits, Map<InstanceName, TimedReport> reported) {
        ImmutableList<DemandReport> demands = membership.current().members().values().stream()
                .filter(member -> member.status() != Member.Status.SUSPECTED)
                .map(member -> Optional.ofNullable(reported.get(member.name()))
                        .map(TimedReport::report)
                        .orElseGet(() -> new DemandReport(member.name(), limits.scope(), Demand.NONE)))
                .collect(ImmutableList.toImmutableList());
        int suspectedCount = membership.current().members().size() - demands.size();
        return ShareAllocator.allocate(limits, demands, suspectedCount);
    }

    private Optional<Limits> findLimits(SectionName scope) {
        if (scope.names().isEmpty()) {
            return Optional.empty();
        }
        OrganisationName organisation = new OrganisationName(scope.names().get(0));
        ServiceName service = new ServiceName(nameOrPlaceholder(scope, 1));
        TierName tier = new TierName(nameOrPlaceholder(scope, 2));
        return settings.get().limits(organisation, service, tier).stream()
                .filter(limits -> limits.scope().equals(scope))
                .findFirst();
    }

    /** The name at the index, or a placeholder: limits of a scope without that name do not depend on it. */
    private static String nameOrPlaceholder(SectionName scope, int index) {
        return scope.names().size() > index ? scope.names().get(index) : "any";
    }

    private InstanceName ownerOf(Ownership ownership, SectionName scope) {
        int partition = Math.floorMod(
                Hashing.murmur3_32_fixed()
                        .hashString(scope.toString(), StandardCharsets.UTF_8)
                        .asInt(),
                PARTITION_COUNT);
        return ownership
                .ownerOf(new PartitionKey(PARTITION_KIND, partition))
                .map(Member::name)
                .orElse(self);
    }

    private record TimedReport(DemandReport report, long receivedNanos) {

        boolean isFresh(long nowNanos) {
            return nowNanos - receivedNanos <= REPORT_TIME_TO_LIVE.toNanos();
        }
    }
}
