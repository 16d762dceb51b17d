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
 * The network of a running entry: one TCP connection to each peer that it sends to, and one from each peer that sends
 * to it. A connection whose heartbeats get no response is replaced by a new one; the peer counts as unreachable only if
 * connecting fails as well.
 */
public final class TcpPeerNetwork implements PeerNetwork, AutoCloseable {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.peer");
    private static final Duration HEARTBEAT_PERIOD = Duration.ofSeconds(1);
    private static final int NETWORK_THREADS = 2;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 1;

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
    private final HandlerRegistry handlers = new HandlerRegistry();
    private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();
    private final Map<InstanceName, Incarnation> incarnations = new ConcurrentHashMap<>();
    private final Map<InstanceName, OutboundConnection> connections = new ConcurrentHashMap<>();
    private final Subscription heartbeats;

    /** Creates a network with its own threads; it can send at once, and receives after {@link #listen(HostAndPort)}. */
    public TcpPeerNetwork(
            TimerService timer,
            Timeline timeline,
            PeerDirectory directory,
            Supplier<PeerIdentity> self,
            Supplier<ClusterKeys> keys,
            ImmutableSet<MessageType<?>> messageTypes) {
        this(timer, timeline, directory, self, keys, messageTypes, new NioEventLoopGroup(NETWORK_THREADS), true);
    }

    /** Creates a network on the caller's event loops, on which all message handlers run. */
    public static TcpPeerNetwork onEventLoops(
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
        HandshakeSettings settings = new HandshakeSettings(() -> sender(self.get()), keys, codec);
        this.dialler = new Dialler(group, timer, settings);
        this.acceptor = new Acceptor(group, settings, timeline, this::deliver);
        this.heartbeats = timer.scheduleWithFixedDelay(HEARTBEAT_PERIOD, this::checkConnections);
    }

    /** Starts accepting connections; returns the address with the port that was bound. */
    public HostAndPort listen(HostAndPort address) {
        return acceptor.listen(address);
    }

    @Override
    public SendResult send(InstanceName receiver, PeerMessage message) {
        if (receiver.equals(self.get().name())) {
            group.next().execute(() -> handlers.deliver(self.get(), message));
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
        return handlers.add(messageClass, handler);
    }

    @Override
    public Subscription addListener(PeerListener listener) {
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
            group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .awaitUninterruptibly();
        }
    }

    /**
     * Delivers a message to the handlers. The message shows that the sender is up, so its backoff ends; if the sender
     * restarted, the outbound channel is discarded, because its new process does not know it.
     */
    private void deliver(PeerIdentity sender, PeerMessage message) {
        OutboundConnection outbound = connection(sender.name());
        Incarnation previous = incarnations.put(sender.name(), sender.incarnation());
        if (previous != null && !previous.equals(sender.incarnation())) {
            outbound.reset();
        }
        outbound.resetBackoff(timer.nanoTime());
        handlers.deliver(sender, message);
    }

    private OutboundConnection connection(InstanceName peer) {
        return connections.computeIfAbsent(peer, name -> new OutboundConnection(timer.nanoTime(), () -> connect(name)));
    }

    private void connect(InstanceName peer) {
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
                        new HandshakeException("no known address for instance " + peer)));
    }

    private void opened(InstanceName peer, Channel channel) {
        OutboundConnection connection = connection(peer);
        channel.pipeline().addLast(new ResponseHandler(() -> connection.recordReceived(timer.nanoTime())));
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
            if (connection.check(timer.nanoTime(), timeline.logicalTime()) == OutboundConnection.CheckResult.SILENT) {
                LOGGER.infof("Connection silent, opening a new one. peer=%s", peer);
                reopen(peer, connection);
            }
        });
    }

    private void reopen(InstanceName peer, OutboundConnection connection) {
        connection.detachChannel();
        listeners.forEach(listener -> listener.disconnected(peer));
        connection.connect();
    }

    private static Hello.Sender sender(PeerIdentity identity) {
        return new Hello.Sender(identity.name(), identity.incarnation(), identity.region());
    }

    private static final class ResponseHandler extends SimpleChannelInboundHandler<Envelope> {
        private final Runnable onResponse;

        ResponseHandler(Runnable onResponse) {
            this.onResponse = onResponse;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext _context, Envelope _envelope) {
            onResponse.run();
        }
    }
}
