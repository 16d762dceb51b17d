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
import org.cowslippick.fleet.settings.SettingsMessages.FetchResponse;
import org.cowslippick.fleet.settings.SettingsMessages.FetchRequest;

/** Gossip about settings over the peer network. */
public final class PeerSettingsGossip implements SettingsGossip {

    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);

    private static final int BATCH_LENGTH = 8;

    private final PeerNetwork network;
    private final PeerBroadcast broadcast;
    private final Supplier<ImmutableList<InstanceName>> livePeers;
    private final TimerService timer;
    private final RandomGenerator random;
    private final AtomicLong questions = new AtomicLong();
    private final ConcurrentHashMap<Long, CompletableFuture<Optional<String>>> unanswered = new ConcurrentHashMap<>();

    /** Takes the network and the other live entries, without this one. */
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
    public void announceToOne(long revision) {
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
                return ask(peer, Optional.empty()).thenApply(text -> text.flatMap(SettingsRoot::read)
                        .map(Either::<PlatformFault, SettingsRoot>right)
                        .orElseGet(() -> Either.left(PlatformFault.UNAVAILABLE)));
            }

            @Override
            public CompletableFuture<Either<PlatformFault, ImmutableMap<String, String>>> chunks(
                    ImmutableSet<String> names) {
                return askInBatches(peer, ImmutableList.copyOf(names), ImmutableMap.of());
            }
        };
    }

    /** Asks for a few chunks at a time, so that a large document does not congest the connection. */
    private CompletableFuture<Either<PlatformFault, ImmutableMap<String, String>>> askInBatches(
            InstanceName peer, ImmutableList<String> names, ImmutableMap<String, String> known) {
        if (names.isEmpty()) {
            return CompletableFuture.completedFuture(Either.right(known));
        }
        int size = Math.min(BATCH_LENGTH, names.size());
        ImmutableList<String> batch = names.subList(0, size);
        ImmutableList<CompletableFuture<Optional<String>>> answers =
                batch.stream().map(name -> ask(peer, Optional.of(name))).collect(ImmutableList.toImmutableList());
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenCompose(_all ->
                        answers.stream().allMatch(answer -> answer.join().isPresent())
                                ? askInBatches(peer, names.subList(size, names.size()), merge(known, batch, answers))
                                : CompletableFuture.completedFuture(Either.left(PlatformFault.UNAVAILABLE)));
    }

    private static ImmutableMap<String, String> merge(
            ImmutableMap<String, String> known,
            ImmutableList<String> batch,
            ImmutableList<CompletableFuture<Optional<String>>> answers) {
        ImmutableMap.Builder<String, String> merged =
                ImmutableMap.<String, String>builder().putAll(known);
        IntStream.range(0, batch.size())
                .forEach(index -> answers.get(index).join().ifPresent(text -> merged.put(batch.get(index), text)));
        return merged.buildOrThrow();
    }

    @Override
    public Subscription serve(Supplier<SettingsSnapshot> current, AnnouncementListener listener) {
        ImmutableList<Subscription> subscriptions = ImmutableList.of(
                network.subscribe(Announcement.class, (sender, message) -> tell(listener, sender, message)),
                broadcast.subscribe(Announcement.class, (sender, message) -> tell(listener, sender, message)),
                network.subscribe(FetchRequest.class, (sender, message) -> answer(current.get(), sender, message)),
                network.subscribe(FetchResponse.class, (_sender, message) -> complete(message)));
        return () -> subscriptions.forEach(Subscription::cancel);
    }

    private static void tell(AnnouncementListener listener, PeerIdentity sender, Announcement message) {
        listener.announced(sender.name(), message.revision());
    }

    private void answer(SettingsSnapshot current, PeerIdentity sender, FetchRequest question) {
        Optional<String> text = question.chunk().isPresent()
                ? question.chunk().map(name -> current.chunks().get(name))
                : Optional.of(current.root().write());
        network.send(sender.name(), new FetchResponse(question.number(), text));
    }

    private CompletableFuture<Optional<String>> ask(InstanceName peer, Optional<String> chunk) {
        long number = questions.incrementAndGet();
        CompletableFuture<Optional<String>> answer = new CompletableFuture<>();
        unanswered.put(number, answer);
        Subscription timeout = timer.after(ANSWER_TIMEOUT, () -> complete(new FetchResponse(number, Optional.empty())));
        network.send(peer, new FetchRequest(number, chunk));
        return answer.whenComplete((_text, _failure) -> timeout.cancel());
    }

    private void complete(FetchResponse message) {
        CompletableFuture<Optional<String>> waiting = unanswered.remove(message.number());
        if (waiting != null) {
            waiting.complete(message.text());
        }
    }
}
