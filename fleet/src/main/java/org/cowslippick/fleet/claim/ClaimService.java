package org.cowslippick.fleet.claim;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.platform.Platform;

/**
 * Claims for one incarnation of one entry. A claim under a ticket is kept in a local table only, one without a ticket
 * in the platform. The local table also holds the phase of every claim granted here. docs/AT-MOST-ONCE.md explains why
 * a request runs at most once.
 */
public final class ClaimService implements ClaimClient, AutoCloseable {

    /** How long after its claim in the platform a request may be sent; far below {@link StoredClaim#RETENTION}. */
    static final Duration MAXIMUM_DISPATCH_DELAY = Duration.ofHours(1);

    /** How long a claim under a ticket is kept after the ticket expired. */
    static final Duration RETENTION_AFTER_TICKET_EXPIRY = Duration.ofMinutes(10);

    private static final Duration SWEEP_PERIOD = Duration.ofSeconds(10);
    private static final int MAXIMUM_LOCAL_CLAIMS = 50_000;
    private static final int MAXIMUM_ANSWER_CHARACTERS = 4 << 20;
    private static final Duration ANSWER_RETENTION = Duration.ofMinutes(10);

    private final TicketValidator ticketValidator;
    private final PlatformClaims platformClaims;
    private final TimerService timer;
    private final Predicate<InstanceName> isLive;
    private final LocalClaimTable localClaims = new LocalClaimTable(MAXIMUM_LOCAL_CLAIMS);
    private final Cache<ClaimIdentity, StoredAnswer> answers;
    private final TimerService.Subscription sweepSubscription;

    /** Creates the service; {@code isLive} tells which other entries are live members. */
    public ClaimService(
            InstanceName entry,
            Incarnation incarnation,
            Platform platform,
            TimerService timer,
            Predicate<InstanceName> isLive) {
        this.ticketValidator = new TicketValidator(entry, incarnation);
        this.platformClaims = new PlatformClaims(platform, timer);
        this.timer = timer;
        this.isLive = isLive;
        this.answers = Caffeine.newBuilder()
                .maximumWeight(MAXIMUM_ANSWER_CHARACTERS)
                .weigher((ClaimIdentity _identity, StoredAnswer answer) ->
                        answer.body().length())
                .ticker(timer::nanoTime)
                .expireAfterWrite(ANSWER_RETENTION)
                .build();
        this.sweepSubscription = timer.scheduleWithFixedDelay(SWEEP_PERIOD, () -> localClaims.sweep(timer.nanoTime()));
    }

    @Override
    public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
        return request.ticket()
                .map(ticket -> CompletableFuture.completedFuture(claimUnderTicket(request, ticket)))
                .orElseGet(() -> claimInPlatform(request));
    }

    @Override
    public boolean markDispatched(RequestId request) {
        return localClaims
                .advance(request, this::mayDispatch, ClaimPhase.DISPATCHED)
                .isPresent();
    }

    @Override
    public boolean markRefused(RequestId request) {
        return localClaims
                .advance(request, claim -> claim.phase() == ClaimPhase.DISPATCHED, ClaimPhase.CLAIMED)
                .isPresent();
    }

    @Override
    public void markFinished(RequestId request, Optional<StoredAnswer> answer) {
        localClaims
                .advance(request, claim -> claim.phase() == ClaimPhase.DISPATCHED, ClaimPhase.FINISHED)
                .ifPresent(claim -> answer.ifPresent(body -> answers.put(claim.identity(), body)));
    }

    @Override
    public void release(RequestId request) {
        localClaims
                .remove(request, claim -> claim.phase().mayRelease())
                .filter(claim -> claim.ticketExpiry().isEmpty())
                .ifPresent(claim -> platformClaims.release(claim.identity(), request));
    }

    @Override
    public void close() {
        sweepSubscription.cancel();
    }

    private boolean mayDispatch(LocalClaim claim) {
        return claim.phase().mayDispatch() && !claim.isExpired(timer.nanoTime());
    }

    private ClaimResult claimUnderTicket(ClaimRequest request, Ticket ticket) {
        return ticketValidator.rejection(request, ticket, isLive).orElseGet(() -> claimLocally(request, ticket));
    }

    private ClaimResult claimLocally(ClaimRequest request, Ticket ticket) {
        Optional<LocalClaim> holder = localClaims.find(request.identity());
        if (holder.isPresent()) {
            return alreadyClaimed(holder.get());
        }
        if (localClaims.isFull()) {
            return TicketValidator.rejected("the local claim table is full (" + MAXIMUM_LOCAL_CLAIMS
                    + " claims); the request was not dispatched");
        }
        return TicketValidator.expiryRejection(ticket, timer.now(), localClaims.mayHaveEvicted(ticket.expiry()))
                .orElseGet(() -> addLocally(newClaim(request, Optional.of(ticket), retentionOf(ticket))));
    }

    private Duration retentionOf(Ticket ticket) {
        return Duration.between(timer.now(), ticket.expiry()).plus(RETENTION_AFTER_TICKET_EXPIRY);
    }

    private CompletableFuture<ClaimResult> claimInPlatform(ClaimRequest request) {
        LocalClaim claim = newClaim(request, Optional.empty(), MAXIMUM_DISPATCH_DELAY);
        return platformClaims.claim(request.identity(), request.request()).thenApply(result -> switch (result) {
            case GRANTED -> addLocally(claim);
            case HELD_BY_OTHER ->
                localClaims
                        .find(request.identity())
                        .map(this::alreadyClaimed)
                        .orElseGet(TicketValidator::outcomeUnknown);
            case RELEASED, NOT_COMMITTED, IN_DOUBT ->
                TicketValidator.rejected("the platform did not confirm the claim; the request was not dispatched");
        });
    }

    private LocalClaim newClaim(ClaimRequest request, Optional<Ticket> ticket, Duration retention) {
        return new LocalClaim(
                request.identity(),
                request.request(),
                ClaimPhase.CLAIMED,
                ticket.map(Ticket::expiry),
                timer.nanoTime() + retention.toNanos());
    }

    private ClaimResult addLocally(LocalClaim claim) {
        return localClaims.add(claim).map(this::alreadyClaimed).orElseGet(ClaimResult.Granted::new);
    }

    private ClaimResult alreadyClaimed(LocalClaim holder) {
        return new ClaimResult.AlreadyClaimed(
                holder.phase(), Optional.ofNullable(answers.getIfPresent(holder.identity())));
    }
}
