package org.cowslippick.fleet.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.membership.Member;
import org.cowslippick.fleet.membership.Membership;
import org.cowslippick.fleet.membership.MembershipSource;
import org.cowslippick.fleet.peer.InMemoryPeerNetworks;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.wire.MessageTypes;
import org.cowslippick.scheduler.limit.Demand;
import org.cowslippick.scheduler.limit.DemandReport;
import org.cowslippick.scheduler.limit.LimitShare;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class LimitExchangeTest {

    private static final Region REGION = new Region("west");
    private static final SectionName SCOPE = SectionName.organisation(new OrganisationName("portalia"));
    private static final SettingsTree TREE = SettingsTree.parse("[organisation portalia]\nrequests-per-second = 100\n")
            .get();

    private final ManualTimerService timer = new ManualTimerService();
    private final InMemoryPeerNetworks networks =
            new InMemoryPeerNetworks(timer, new MessageTypes(LimitMessages.TYPES));
    private final Map<InstanceName, FakeLocalLimits> localLimits = new HashMap<>();
    private Membership membership = Membership.EMPTY;

    /** Limits of an entry whose callers request at a settable rate. */
    private static final class FakeLocalLimits implements LocalLimits {
        private final InstanceName entry;
        private double requestsPerSecond;
        private double requestRateShare = -1;

        FakeLocalLimits(InstanceName entry) {
            this.entry = entry;
        }

        @Override
        public ImmutableList<DemandReport> demand() {
            return requestsPerSecond == 0
                    ? ImmutableList.of()
                    : ImmutableList.of(new DemandReport(entry, SCOPE, new Demand(requestsPerSecond, 0, 0)));
        }

        @Override
        public void apply(LimitShare share) {
            requestRateShare = share.requestRateShare();
        }
    }

    @BeforeEach
    void start() {
        ImmutableList<Member> members =
                List.of("one", "two", "three").stream().map(this::member).collect(ImmutableList.toImmutableList());
        membership = Membership.of(members);
        members.forEach(this::join);
    }

    private Member member(String name) {
        HostAndPort address = HostAndPort.fromParts("10.0.0.1", 80);
        Instance instance = new Instance(new InstanceName(name), new FailureDomain("west-a", REGION), address, address);
        return new Member(instance, new Incarnation(1), Member.Status.LIVE);
    }

    private void join(Member member) {
        FakeLocalLimits own = new FakeLocalLimits(member.name());
        localLimits.put(member.name(), own);
        MembershipSource source = new MembershipSource() {
            @Override
            public Membership current() {
                return membership;
            }

            @Override
            public Subscription subscribe(Consumer<Membership> _consumer) {
                return () -> {};
            }
        };
        new LimitExchange(
                member.name(),
                own,
                networks.join(new PeerIdentity(member.name(), member.incarnation(), REGION)),
                source,
                () -> TREE,
                timer);
    }

    private FakeLocalLimits limitsOf(String name) {
        return localLimits.get(new InstanceName(name));
    }

    private double totalShare() {
        return localLimits.values().stream()
                .mapToDouble(own -> own.requestRateShare)
                .sum();
    }

    @Test
    void sharesFollowDemandAndAddUp() {
        limitsOf("one").requestsPerSecond = 150;
        timer.advance(Duration.ofSeconds(2));
        assertTrue(
                limitsOf("one").requestRateShare > 0.99,
                "share of the only entry with demand: " + limitsOf("one").requestRateShare);
        limitsOf("two").requestsPerSecond = 150;
        timer.advance(Duration.ofSeconds(2));
        assertEquals(0.5, limitsOf("one").requestRateShare, 0.01);
        assertEquals(0.5, limitsOf("two").requestRateShare, 0.01);
        assertEquals(1, totalShare(), 1e-6);
    }

    @Test
    void reservesAnEqualShareForASuspectedEntry() {
        limitsOf("one").requestsPerSecond = 150;
        Member suspect = member("three");
        membership = Membership.of(ImmutableList.of(
                member("one"),
                member("two"),
                new Member(suspect.instance(), suspect.incarnation(), Member.Status.SUSPECTED)));
        timer.advance(Duration.ofSeconds(2));
        assertEquals(2.0 / 3, limitsOf("one").requestRateShare + Math.max(0, limitsOf("two").requestRateShare), 1e-6);
    }
}
