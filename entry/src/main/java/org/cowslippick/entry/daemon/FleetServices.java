package org.cowslippick.entry.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.cowslippick.core.settings.EntrySettings;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.timeline.EventKind;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.grant.GrantMessages;
import org.cowslippick.fleet.limit.LimitMessages;
import org.cowslippick.fleet.membership.Member;
import org.cowslippick.fleet.membership.Membership;
import org.cowslippick.fleet.membership.MembershipMessages;
import org.cowslippick.fleet.membership.MembershipService;
import org.cowslippick.fleet.ownership.RendezvousHashing;
import org.cowslippick.fleet.peer.EpidemicBroadcast;
import org.cowslippick.fleet.peer.TcpPeerNetwork;
import org.cowslippick.fleet.platform.Platform;
import org.cowslippick.fleet.settings.PeerSettingsGossip;
import org.cowslippick.fleet.settings.SettingsMessages;
import org.cowslippick.fleet.settings.SettingsReplica;
import org.cowslippick.fleet.wire.ClusterKeys;
import org.cowslippick.fleet.wire.MessageType;

/** The services that connect an entry to the fleet: the peer network, the membership and the settings replica. */
final class FleetServices implements AutoCloseable {

    private static final int SETTINGS_WATCHERS_PER_REGION = 2;
    private static final int KEY_NAME_LENGTH_CHARACTERS = 8;
    private static final ImmutableSet<MessageType<?>> MESSAGE_TYPES = ImmutableSet.<MessageType<?>>builder()
            .addAll(GrantMessages.TYPES)
            .addAll(MembershipMessages.TYPES)
            .addAll(SettingsMessages.TYPES)
            .addAll(LimitMessages.TYPES)
            .build();

    private final Instance self;
    private final MembershipService membership;
    private final TcpPeerNetwork network;
    private final TimerService.Subscription membershipSubscription;
    private final SettingsReplica replica;

    FleetServices(
            EntrySettings settings, Incarnation incarnation, TimerService timer, Timeline timeline, Platform platform) {
        this.self = settings.instance();
        this.membership = new MembershipService(self, incarnation, timer, platform);
        ClusterKeys keys = clusterKeys(settings.peerKeys());
        this.network = new TcpPeerNetwork(timer, timeline, membership, membership::identity, () -> keys, MESSAGE_TYPES);
        network.listen(self.peerAddress());
        membership.subscribe(changed -> timeline.record(EventKind.ENTRY_JOINED, describeMembers(changed)));
        this.membershipSubscription = membership.start(network);
        SplittableRandom random = new SplittableRandom(incarnation.number());
        PeerSettingsGossip gossip = new PeerSettingsGossip(
                network,
                new EpidemicBroadcast(network, this::livePeers, random.split()),
                this::livePeers,
                timer,
                random.split());
        this.replica = new SettingsReplica(platform, gossip, timer, this::isSettingsWatcher);
        replica.subscribe(applied -> timeline.record(EventKind.SETTINGS_APPLIED, "revision " + applied.revision()));
    }

    MembershipService membership() {
        return membership;
    }

    TcpPeerNetwork network() {
        return network;
    }

    SettingsReplica replica() {
        return replica;
    }

    /** Whether the fleet has a member of this name, as this entry sees it. */
    boolean isAlive(InstanceName name) {
        return membership.current().find(name).isPresent();
    }

    @Override
    public void close() {
        replica.close();
        membershipSubscription.cancel();
        network.close();
    }

    private ImmutableList<InstanceName> livePeers() {
        return membership
                .current()
                .membersAcceptingWork()
                .map(Member::name)
                .filter(name -> !name.equals(self.name()))
                .collect(ImmutableList.toImmutableList());
    }

    private boolean isSettingsWatcher() {
        return RendezvousHashing.order(membership.current().membersAcceptingWork(self.region()), "settings-watchers")
                .stream()
                .limit(SETTINGS_WATCHERS_PER_REGION)
                .anyMatch(member -> member.name().equals(self.name()));
    }

    /** Names each key by its hash, so that two peers can find the keys they share without sending any of them. */
    private static ClusterKeys clusterKeys(ImmutableList<String> secrets) {
        return ClusterKeys.of(secrets.stream()
                .collect(ImmutableMap.toImmutableMap(
                        FleetServices::keyName, secret -> secret, (first, _duplicate) -> first)));
    }

    private static String keyName(String secret) {
        return Hashing.sha256()
                .hashString("key name " + secret, StandardCharsets.UTF_8)
                .toString()
                .substring(0, KEY_NAME_LENGTH_CHARACTERS);
    }

    private static String describeMembers(Membership membership) {
        return "members "
                + membership.members().values().stream()
                        .map(member -> member.name() + " " + member.status())
                        .sorted()
                        .toList();
    }
}
