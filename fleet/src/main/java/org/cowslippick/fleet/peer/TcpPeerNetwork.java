package org.cowslippick.fleet.peer;

import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.wire.ClusterKeys;
import org.cowslippick.fleet.wire.ConnectionMessages;
import org.cowslippick.fleet.wire.Envelope;
import org.cowslippick.fleet.wire.FrameCodec;
import org.cowslippick.fleet.wire.Hello;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.MessageTypes;
import org.cowslippick.fleet.wire.PeerMessage;
import org.jboss.logging.Logger;

/**
 * The network of a running entry: one TCP connection to each peer that it sends to, and those that peers opened for
 * what they send. A connection without an answer to its heartbeats is replaced by a new one, and only if that fails is
 * the peer called unreachable.
 */
public final class TcpPeerNetwork implements PeerNetwork, AutoCloseable {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.peer");
    private static final Duration HEARTBEAT_PERIOD = Duration.ofSeconds(1);
    private static final int NETWORK_THREADS = 2;
    private static final long SHUTDOWN_LIMIT_SECONDS = 1;

    private final TimerService timer;
    private final Timeline timeline;
    private final PeerDirectory directory;
    private final Supplier<PeerIdentity> self;
    private final MessageTypes types;
    private final FrameCodec codec;
    private final EventLoopGroup group;
    private final boolean ownsGroup;
    private final Dialler dialler;
    private final Acceptor acceptor;
    private final Subscribers subscribers = new Subscribers();
    private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();
    private final Map<InstanceName, Incarnation> incarnations = new ConcurrentHashMap<>();
    private final Map<InstanceName, OutboundConnection> connections = new ConcurrentHashMap<>();
    private final Subscription heartbeats;

    /** Creates a network with threads of its own; it sends at once and receives after {@link #listen(HostAndPort)}. */
    public TcpPeerNetwork(
            TimerService timer,
            Timeline timeline,
            PeerDirectory directory,
            Supplier<PeerIdentity> self,
            Supplier<ClusterKeys> keys,
            ImmutableSet<MessageType<?>> messageTypes) {
        this(timer, timeline, directory, self, keys, messageTypes, new NioEventLoopGroup(NETWORK_THREADS), true);
    }

    /** Creates a network on event loops of the caller's, on which all handlers are called. */
    public static TcpPeerNetwork on(
            EventLoopGroup loops,
            TimerService timer,
            Timeline timeline,
            PeerDirectory directory,
            Supplier<PeerIdentity> self,
            Supplier<ClusterKeys> keys,
            ImmutableSet<MessageType<?>> messageTypes) {
        return new TcpPeerNetwork(timer, timeline, directory, self, keys, messageTypes, loops, false);
    }

    private TcpPeerNetwork(
            TimerService timer,
            Timeline timeline,
            PeerDirectory directory,
            Supplier<PeerIdentity> self,
            Supplier<ClusterKeys> keys,
            ImmutableSet<MessageType<?>> messageTypes,
            EventLoopGroup group,
            boolean ownsGroup) {
        this.group = group;
        this.ownsGroup = ownsGroup;
        this.timer = timer;
        this.timeline = timeline;
        this.directory = directory;
        this.self = self;
        this.types = new MessageTypes(ImmutableSet.<MessageType<?>>builder()
                .addAll(ConnectionMessages.HEARTBEATS)
                .addAll(messageTypes)
                .build());
        this.codec = new FrameCodec(types);
        HelloSettings settings = new HelloSettings(() -> sender(self.get()), keys, codec);
        this.dialler = new Dialler(group, timer, settings);
        this.acceptor = new Acceptor(group, settings, timeline, this::deliver);
        this.heartbeats = timer.every(HEARTBEAT_PERIOD, this::checkConnections);
    }

    /** Accepts connections at the address; returns it with the port that was bound. */
    public HostAndPort listen(HostAndPort address) {
        return acceptor.listen(address);
    }

    @Override
    public SendResult send(InstanceName receiver, PeerMessage message) {
        if (receiver.equals(self.get().name())) {
            group.next().execute(() -> subscribers.deliver(self.get(), message));
            return SendResult.QUEUED;
        }
        return connection(receiver)
                .send(
                        codec.encode(new Envelope(timeline.logicalTime(), message)),
                        types.typeOf(message).priority(),
                        timer.nanoTime());
    }

    @Override
    public <M extends PeerMessage> Subscription subscribe(Class<M> messageClass, PeerHandler<M> handler) {
        return subscribers.add(messageClass, handler);
    }

    @Override
    public Subscription listen(PeerListener listener) {
        listeners.add(listener);
        return () -> listeners.remove(listener);
    }

    @Override
    public CompletableFuture<Boolean> probe(InstanceName peer) {
        return dial(peer).handle((channel, failure) -> {
            Optional.ofNullable(channel).ifPresent(Channels::close);
            return failure == null;
        });
    }

    @Override
    public void close() {
        heartbeats.cancel();
        connections.values().forEach(OutboundConnection::close);
        acceptor.close();
        if (ownsGroup) {
            group.shutdownGracefully(0, SHUTDOWN_LIMIT_SECONDS, TimeUnit.SECONDS)
                    .awaitUninterruptibly();
        }
    }

    /** A peer that sends can be reached again; one that restarted no longer knows the channel of its life before. */
    private void deliver(PeerIdentity sender, PeerMessage message) {
        OutboundConnection outbound = connection(sender.name());
        Incarnation before = incarnations.put(sender.name(), sender.incarnation());
        if (before != null && !before.equals(sender.incarnation())) {
            outbound.replace();
        }
        outbound.reachable(timer.nanoTime());
        subscribers.deliver(sender, message);
    }

    private OutboundConnection connection(InstanceName peer) {
        return connections.computeIfAbsent(peer, name -> new OutboundConnection(timer.nanoTime(), () -> open(name)));
    }

    private void open(InstanceName peer) {
        Channels.whenDone(dial(peer), (channel, failure) -> {
            if (failure == null) {
                opened(peer, channel);
            } else {
                LOGGER.debugf("Connecting failed. peer=%s cause=%s", peer, failure.getMessage());
                connection(peer).failed(timer.nanoTime());
                listeners.forEach(listener -> listener.disconnected(peer));
            }
        });
    }

    private CompletableFuture<Channel> dial(InstanceName peer) {
        return directory
                .peerAddress(peer)
                .map(address -> dialler.dial(peer, address))
                .orElseGet(() -> CompletableFuture.failedFuture(
                        new HelloFailedException("the address of " + peer + " is unknown")));
    }

    private void opened(InstanceName peer, Channel channel) {
        OutboundConnection connection = connection(peer);
        channel.pipeline().addLast(new AnswerHandler(() -> connection.received(timer.nanoTime())));
        connection.opened(channel, timer.nanoTime());
        Channels.whenDone(channel.closeFuture(), () -> closed(peer, channel));
        LOGGER.debugf("Connected. peer=%s", peer);
        listeners.forEach(listener -> listener.connected(peer));
    }

    private void closed(InstanceName peer, Channel channel) {
        if (connection(peer).closed(channel)) {
            LOGGER.debugf("Disconnected. peer=%s", peer);
            listeners.forEach(listener -> listener.disconnected(peer));
        }
    }

    private void checkConnections() {
        connections.forEach((peer, connection) -> {
            if (connection.check(timer.nanoTime(), timeline.logicalTime()) == OutboundConnection.Check.SILENT) {
                LOGGER.infof("Connection silent, opening a new one. peer=%s", peer);
                reopen(peer, connection);
            }
        });
    }

    private void reopen(InstanceName peer, OutboundConnection connection) {
        connection.abandon();
        listeners.forEach(listener -> listener.disconnected(peer));
        connection.connect();
    }

    private static Hello.Sender sender(PeerIdentity identity) {
        return new Hello.Sender(identity.name(), identity.incarnation(), identity.region());
    }

    private static final class AnswerHandler extends SimpleChannelInboundHandler<Envelope> {
        private final Runnable received;

        AnswerHandler(Runnable received) {
            this.received = received;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext _context, Envelope _envelope) {
            received.run();
        }
    }
}
