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
 * Claims for one incarnation of one entry: under a ticket in its own table, without one in the platform. The table also
 * knows how far each claim has come; docs/AT-MOST-ONCE.md gives the argument.
 */
public final class ClaimService implements ClaimClient, AutoCloseable {

    /** A claim in the platform is not dispatched later than this; it is far below {@link StoredClaim#RETENTION}. */
    static final Duration DISPATCH_LIMIT = Duration.ofHours(1);

    /** How long a claim under a ticket is known after the ticket expired. */
    static final Duration TICKET_GRACE = Duration.ofMinutes(10);

    private static final Duration SWEEP_PERIOD = Duration.ofSeconds(10);
    private static final int MAXIMUM_LOCAL_CLAIMS = 50_000;
    private static final int MAXIMUM_ANSWER_CHARACTERS = 4 << 20;
    private static final Duration ANSWER_RETENTION = Duration.ofMinutes(10);

    private final TicketValidator rule;
    private final PlatformClaims platformClaims;
    private final TimerService timer;
    private final Predicate<InstanceName> alive;
    private final LocalClaimTable local = new LocalClaimTable(MAXIMUM_LOCAL_CLAIMS);
    private final Cache<ClaimIdentity, StoredAnswer> answers;
    private final TimerService.Subscription sweep;

    /** Creates the service; {@code alive} tells which other entries are live members. */
    public ClaimService(
            InstanceName entry,
            Incarnation incarnation,
            Platform platform,
            TimerService timer,
            Predicate<InstanceName> alive) {
        this.rule = new TicketValidator(entry, incarnation);
        this.platformClaims = new PlatformClaims(platform, timer);
        this.timer = timer;
        this.alive = alive;
        this.answers = Caffeine.newBuilder()
                .maximumWeight(MAXIMUM_ANSWER_CHARACTERS)
                .weigher((ClaimIdentity _identity, StoredAnswer answer) ->
                        answer.body().length())
                .ticker(timer::nanoTime)
                .expireAfterWrite(ANSWER_RETENTION)
                .build();
        this.sweep = timer.every(SWEEP_PERIOD, () -> local.sweep(timer.nanoTime()));
    }

    @Override
    public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
        return request.ticket()
                .map(ticket -> CompletableFuture.completedFuture(claimUnderTicket(request, ticket)))
                .orElseGet(() -> claimInPlatform(request));
    }

    @Override
    public boolean markDispatched(RequestId request) {
        return local.advance(request, this::mayDispatch, ClaimPhase.DISPATCHED).isPresent();
    }

    @Override
    public boolean markRefused(RequestId request) {
        return local.advance(request, claim -> claim.phase() == ClaimPhase.DISPATCHED, ClaimPhase.CLAIMED)
                .isPresent();
    }

    @Override
    public void markFinished(RequestId request, Optional<StoredAnswer> answer) {
        local.advance(request, claim -> claim.phase() == ClaimPhase.DISPATCHED, ClaimPhase.FINISHED)
                .ifPresent(claim -> answer.ifPresent(body -> answers.put(claim.identity(), body)));
    }

    @Override
    public void release(RequestId request) {
        local.remove(request, claim -> claim.phase().mayRelease())
                .filter(claim -> claim.ticketExpiry().isEmpty())
                .ifPresent(claim -> platformClaims.release(claim.identity(), request));
    }

    @Override
    public void close() {
        sweep.cancel();
    }

    private boolean mayDispatch(LocalClaim claim) {
        return claim.phase().mayDispatch() && !claim.over(timer.nanoTime());
    }

    private ClaimResult claimUnderTicket(ClaimRequest request, Ticket ticket) {
        return rule.refusal(request, ticket, alive).orElseGet(() -> claimInTable(request, ticket));
    }

    private ClaimResult claimInTable(ClaimRequest request, Ticket ticket) {
        Optional<LocalClaim> holder = local.find(request.identity());
        if (holder.isPresent()) {
            return alreadyClaimed(holder.get());
        }
        if (local.full()) {
            return TicketValidator.unprovable("the table of claims is full, so nothing was sent");
        }
        return TicketValidator.expired(ticket, timer.now(), local.mayHaveForgotten(ticket.expiry()))
                .orElseGet(() -> add(claim(request, Optional.of(ticket), untilForgotten(ticket))));
    }

    private Duration untilForgotten(Ticket ticket) {
        return Duration.between(timer.now(), ticket.expiry()).plus(TICKET_GRACE);
    }

    private CompletableFuture<ClaimResult> claimInPlatform(ClaimRequest request) {
        LocalClaim claim = claim(request, Optional.empty(), DISPATCH_LIMIT);
        return platformClaims.claim(request.identity(), request.request()).thenApply(verdict -> switch (verdict) {
            case GRANTED -> add(claim);
            case HELD_BY_OTHER ->
                local.find(request.identity()).map(this::alreadyClaimed).orElseGet(TicketValidator::unknown);
            case RELEASED, NOT_COMMITTED, IN_DOUBT ->
                TicketValidator.unprovable("the platform did not confirm the claim, so nothing was sent");
        });
    }

    private LocalClaim claim(ClaimRequest request, Optional<Ticket> ticket, Duration keep) {
        return new LocalClaim(
                request.identity(),
                request.request(),
                ClaimPhase.CLAIMED,
                ticket.map(Ticket::expiry),
                timer.nanoTime() + keep.toNanos());
    }

    private ClaimResult add(LocalClaim claim) {
        return local.add(claim).map(this::alreadyClaimed).orElseGet(ClaimResult.Granted::new);
    }

    private ClaimResult alreadyClaimed(LocalClaim holder) {
        return new ClaimResult.AlreadyClaimed(
                holder.phase(), Optional.ofNullable(answers.getIfPresent(holder.identity())));
    }
}
