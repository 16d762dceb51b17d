package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.peer.PeerBroadcast;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.fleet.platform.PlatformFault;
import org.cowslippick.fleet.settings.SettingsMessages.Announcement;
import org.cowslippick.fleet.settings.SettingsMessages.FetchRequest;
import org.cowslippick.fleet.settings.SettingsMessages.FetchResponse;

/** Announces and transfers settings over the peer network. */
public final class PeerSettingsGossip implements SettingsGossip {

    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);

    private static final int BATCH_SIZE = 8;

    private final PeerNetwork network;
    private final PeerBroadcast broadcast;
    private final Supplier<ImmutableList<InstanceName>> livePeers;
    private final TimerService timer;
    private final RandomGenerator random;
    private final AtomicLong lastRequestNumber = new AtomicLong();
    private final ConcurrentHashMap<Long, CompletableFuture<Optional<String>>> pendingResponses =
            new ConcurrentHashMap<>();

    /** Creates the gossip; {@code livePeers} returns the other live entries. */
    public PeerSettingsGossip(
            PeerNetwork network,
            PeerBroadcast broadcast,
            Supplier<ImmutableList<InstanceName>> livePeers,
            TimerService timer,
            RandomGenerator random) {
        this.network = network;
        this.broadcast = broadcast;
        this.livePeers = livePeers;
        this.timer = timer;
        this.random = random;
    }

    @Override
    public void announceToAll(long revision) {
        broadcast.broadcast(new Announcement(revision));
    }

    @Override
    public void announceToRandomPeer(long revision) {
        ImmutableList<InstanceName> peers = livePeers.get();
        if (!peers.isEmpty()) {
            announceTo(peers.get(random.nextInt(peers.size())), revision);
        }
    }

    @Override
    public void announceTo(InstanceName peer, long revision) {
        network.send(peer, new Announcement(revision));
    }

    @Override
    public SettingsSource source(InstanceName peer) {
        return new SettingsSource() {
            @Override
            public CompletableFuture<Either<PlatformFault, SettingsRoot>> root() {
                return fetch(peer, Optional.empty()).thenApply(text -> text.flatMap(SettingsRoot::read)
                        .map(Either::<PlatformFault, SettingsRoot>right)
                        .orElseGet(() -> Either.left(PlatformFault.UNAVAILABLE)));
            }

            @Override
            public CompletableFuture<Either<PlatformFault, ImmutableMap<String, String>>> chunks(
                    ImmutableSet<String> names) {
                return fetchInBatches(peer, ImmutableList.copyOf(names), ImmutableMap.of());
            }
        };
    }

    /** Fetches a few chunks at a time, so that a large document does not congest the connection. */
    private CompletableFuture<Either<PlatformFault, ImmutableMap<String, String>>> fetchInBatches(
            InstanceName peer, ImmutableList<String> names, ImmutableMap<String, String> known) {
        if (names.isEmpty()) {
            return CompletableFuture.completedFuture(Either.right(known));
        }
        int size = Math.min(BATCH_SIZE, names.size());
        ImmutableList<String> batch = names.subList(0, size);
        ImmutableList<CompletableFuture<Optional<String>>> responses =
                batch.stream().map(name -> fetch(peer, Optional.of(name))).collect(ImmutableList.toImmutableList());
        return CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new))
                .thenCompose(_all -> responses.stream()
                                .allMatch(response -> response.join().isPresent())
                        ? fetchInBatches(peer, names.subList(size, names.size()), merge(known, batch, responses))
                        : CompletableFuture.completedFuture(Either.left(PlatformFault.UNAVAILABLE)));
    }

    private static ImmutableMap<String, String> merge(
            ImmutableMap<String, String> known,
            ImmutableList<String> batch,
            ImmutableList<CompletableFuture<Optional<String>>> responses) {
        ImmutableMap.Builder<String, String> merged =
                ImmutableMap.<String, String>builder().putAll(known);
        IntStream.range(0, batch.size())
                .forEach(index -> responses.get(index).join().ifPresent(text -> merged.put(batch.get(index), text)));
        return merged.buildOrThrow();
    }

    @Override
    public Subscription serve(Supplier<SettingsSnapshot> current, AnnouncementListener listener) {
        ImmutableList<Subscription> subscriptions = ImmutableList.of(
                network.subscribe(Announcement.class, (sender, message) -> notifyListener(listener, sender, message)),
                broadcast.subscribe(Announcement.class, (sender, message) -> notifyListener(listener, sender, message)),
                network.subscribe(FetchRequest.class, (sender, message) -> respond(current.get(), sender, message)),
                network.subscribe(FetchResponse.class, (_sender, message) -> complete(message)));
        return () -> subscriptions.forEach(Subscription::cancel);
    }

    private static void notifyListener(AnnouncementListener listener, PeerIdentity sender, Announcement message) {
        listener.announced(sender.name(), message.revision());
    }

    private void respond(SettingsSnapshot current, PeerIdentity sender, FetchRequest request) {
        Optional<String> text = request.chunk().isPresent()
                ? request.chunk().map(name -> current.chunks().get(name))
                : Optional.of(current.root().write());
        network.send(sender.name(), new FetchResponse(request.number(), text));
    }

    private CompletableFuture<Optional<String>> fetch(InstanceName peer, Optional<String> chunk) {
        long number = lastRequestNumber.incrementAndGet();
        CompletableFuture<Optional<String>> response = new CompletableFuture<>();
        pendingResponses.put(number, response);
        Subscription timeout =
                timer.schedule(RESPONSE_TIMEOUT, () -> complete(new FetchResponse(number, Optional.empty())));
        network.send(peer, new FetchRequest(number, chunk));
        return response.whenComplete((_text, _failure) -> timeout.cancel());
    }

    private void complete(FetchResponse response) {
        CompletableFuture<Optional<String>> pending = pendingResponses.remove(response.number());
        if (pending != null) {
            pending.complete(response.text());
        }
    }
}
