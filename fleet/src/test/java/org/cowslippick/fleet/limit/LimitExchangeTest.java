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
import org.cowslippick.fleet.peer.InMemoryPeers;
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
    private final InMemoryPeers peers = new InMemoryPeers(timer, new MessageTypes(LimitMessages.TYPES));
    private final Map<InstanceName, FakeParts> parts = new HashMap<>();
    private Membership membership = Membership.EMPTY;

    /** An entry whose callers ask for a fixed rate. */
    private static final class FakeParts implements LimitParts {
        private final InstanceName entry;
        private double requestsPerSecond;
        private double part = -1;

        FakeParts(InstanceName entry) {
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
            part = share.requestRateShare();
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
        return new Member(instance, new Incarnation(1), Member.Standing.LIVE);
    }

    private void join(Member member) {
        FakeParts own = new FakeParts(member.name());
        parts.put(member.name(), own);
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
                peers.join(new PeerIdentity(member.name(), member.incarnation(), REGION)),
                source,
                () -> TREE,
                timer);
    }

    private FakeParts entry(String name) {
        return parts.get(new InstanceName(name));
    }

    private double total() {
        return parts.values().stream().mapToDouble(own -> own.part).sum();
    }

    @Test
    void sharesFollowDemandAndAddUp() {
        entry("one").requestsPerSecond = 150;
        timer.advance(Duration.ofSeconds(2));
        assertTrue(entry("one").part > 0.99, "share of the only entry with demand: " + entry("one").part);
        entry("two").requestsPerSecond = 150;
        timer.advance(Duration.ofSeconds(2));
        assertEquals(0.5, entry("one").part, 0.01);
        assertEquals(0.5, entry("two").part, 0.01);
        assertEquals(1, total(), 1e-6);
    }

    @Test
    void aSuspectedEntryKeepsItsEqualPartSetAside() {
        entry("one").requestsPerSecond = 150;
        Member suspect = member("three");
        membership = Membership.of(ImmutableList.of(
                member("one"),
                member("two"),
                new Member(suspect.instance(), suspect.incarnation(), Member.Standing.SUSPECTED)));
        timer.advance(Duration.ofSeconds(2));
        assertEquals(2.0 / 3, entry("one").part + Math.max(0, entry("two").part), 1e-6);
    }
}
