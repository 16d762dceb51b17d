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
 * Divides each scope's limits by demand. Every half second an entry tells the owner of a scope what its callers ask
 * for, and the owner tells all live entries their shares. A member that is suspected keeps an equal part set aside, so
 * that the parts in use never add up to more than the limit.
 */
public final class LimitExchange implements AutoCloseable {

    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final Duration REPORT_LIFETIME = Duration.ofSeconds(2);
    private static final int PARTITIONS = 256;
    private static final String PARTITION_KIND = "limits";

    private final InstanceName self;
    private final LimitParts parts;
    private final PeerNetwork network;
    private final MembershipSource membership;
    private final Supplier<SettingsTree> settings;
    private final TimerService timer;
    private final Map<SectionName, Map<InstanceName, TimedReport>> reports = new ConcurrentHashMap<>();
    private final ImmutableList<Subscription> subscriptions;

    /** Starts to exchange demand and shares. */
    public LimitExchange(
            InstanceName self,
            LimitParts parts,
            PeerNetwork network,
            MembershipSource membership,
            Supplier<SettingsTree> settings,
            TimerService timer) {
        this.self = self;
        this.parts = parts;
        this.network = network;
        this.membership = membership;
        this.settings = settings;
        this.timer = timer;
        this.subscriptions = ImmutableList.of(
                network.subscribe(Demands.class, (_sender, message) -> received(message)),
                network.subscribe(
                        Shares.class, (_sender, message) -> message.shares().forEach(parts::apply)),
                timer.every(PERIOD, this::exchange));
    }

    @Override
    public void close() {
        subscriptions.forEach(Subscription::cancel);
    }

    private void exchange() {
        reportDemand();
        allocate();
    }

    private void reportDemand() {
        Ownership ownership = new Ownership(membership.current());
        ImmutableListMultimap<InstanceName, DemandReport> byOwner = parts.demand().stream()
                .collect(ImmutableListMultimap.toImmutableListMultimap(
                        report -> owner(ownership, report.scope()), report -> report));
        byOwner.asMap().forEach((owner, scopes) -> network.send(owner, new Demands(ImmutableList.copyOf(scopes))));
    }

    private void received(Demands message) {
        long now = timer.nanoTime();
        message.reports().forEach(report -> reports.computeIfAbsent(report.scope(), _scope -> new ConcurrentHashMap<>())
                .put(report.entry(), new TimedReport(report, now)));
    }

    private void allocate() {
        long now = timer.nanoTime();
        reports.values().forEach(entries -> entries.values().removeIf(report -> !report.fresh(now)));
        reports.values().removeIf(Map::isEmpty);
        ImmutableListMultimap<InstanceName, LimitShare> shares = reports.entrySet().stream()
                .flatMap(scope ->
                        limits(scope.getKey()).stream().flatMap(limits -> shares(limits, scope.getValue()).stream()))
                .collect(ImmutableListMultimap.toImmutableListMultimap(LimitShare::entry, share -> share));
        shares.asMap().forEach((entry, own) -> network.send(entry, new Shares(ImmutableList.copyOf(own))));
    }

    /** The shares of all live members; one that did not report has no demand. */
    private ImmutableList<LimitShare> shares(Limits limits, Map<InstanceName, TimedReport> reported) {
        ImmutableList<DemandReport> demands = membership.current().members().values().stream()
                .filter(member -> member.standing() != Member.Standing.SUSPECTED)
                .map(member -> Optional.ofNullable(reported.get(member.name()))
                        .map(TimedReport::report)
                        .orElseGet(() -> new DemandReport(member.name(), limits.scope(), Demand.NONE)))
                .collect(ImmutableList.toImmutableList());
        int suspected = membership.current().members().size() - demands.size();
        return ShareAllocator.allocate(limits, demands, suspected);
    }

    private Optional<Limits> limits(SectionName scope) {
        if (scope.names().isEmpty()) {
            return Optional.empty();
        }
        OrganisationName organisation = new OrganisationName(scope.names().get(0));
        ServiceName service = new ServiceName(nameOr(scope, 1));
        TierName tier = new TierName(nameOr(scope, 2));
        return settings.get().limits(organisation, service, tier).stream()
                .filter(limits -> limits.scope().equals(scope))
                .findFirst();
    }

    /** The name at the index; a scope without it has limits that do not depend on it. */
    private static String nameOr(SectionName scope, int index) {
        return scope.names().size() > index ? scope.names().get(index) : "any";
    }

    private InstanceName owner(Ownership ownership, SectionName scope) {
        int number = Math.floorMod(
                Hashing.murmur3_32_fixed()
                        .hashString(scope.toString(), StandardCharsets.UTF_8)
                        .asInt(),
                PARTITIONS);
        return ownership
                .ownerOf(new PartitionKey(PARTITION_KIND, number))
                .map(Member::name)
                .orElse(self);
    }

    private record TimedReport(DemandReport report, long atNanos) {

        boolean fresh(long nowNanos) {
            return nowNanos - atNanos <= REPORT_LIFETIME.toNanos();
        }
    }
}
