package org.cowslippick.entry.request;

import com.google.common.primitives.Longs;
import io.vavr.control.Either;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.IdempotencyKey;
import org.cowslippick.core.world.Contract;
import org.cowslippick.fleet.claim.Ticket;
import org.cowslippick.fleet.claim.TicketCodec;

/** The validated and parsed headers of a request. */
record ValidatedHeaders(long deadlineNanos, Optional<IdempotencyKey> idempotencyKey, Optional<Ticket> ticket) {

    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final long MAXIMUM_DEADLINE_MILLISECONDS = 86_400_000L;

    static Either<Failure, ValidatedHeaders> parse(CallerHeaders headers, Contract contract, TicketCodec tickets) {
        return deadline(headers, contract).flatMap(deadline -> key(headers, contract)
                .flatMap(key -> ticket(headers, tickets).map(ticket -> new ValidatedHeaders(deadline, key, ticket))));
    }

    private static Either<Failure, Long> deadline(CallerHeaders headers, Contract contract) {
        if (headers.deadlineMilliseconds().isEmpty()) {
            return Either.right(contract.deadline().toNanos());
        }
        String text = headers.deadlineMilliseconds().get();
        return Optional.ofNullable(Longs.tryParse(text))
                .filter(milliseconds -> milliseconds >= 1 && milliseconds <= MAXIMUM_DEADLINE_MILLISECONDS)
                .map(milliseconds -> milliseconds * NANOS_PER_MILLISECOND)
                .<Either<Failure, Long>>map(Either::right)
                .orElseGet(() -> malformed("X-Deadline-Milliseconds must be an integer from 1 to "
                        + MAXIMUM_DEADLINE_MILLISECONDS + ", but was \"" + text + "\""));
    }

    private static Either<Failure, Optional<IdempotencyKey>> key(CallerHeaders headers, Contract contract) {
        boolean hasInvalidLength = headers.idempotencyKey()
                .filter(key -> key.isEmpty() || key.length() > IdempotencyKey.MAXIMUM_LENGTH_CHARACTERS)
                .isPresent();
        return hasInvalidLength
                ? malformed(
                        "Idempotency-Key must have 1 to " + IdempotencyKey.MAXIMUM_LENGTH_CHARACTERS + " characters")
                : Either.right(headers.idempotencyKey().map(key -> new IdempotencyKey(contract.organisation(), key)));
    }

    private static Either<Failure, Optional<Ticket>> ticket(CallerHeaders headers, TicketCodec tickets) {
        return headers.ticket()
                .map(text -> tickets.read(text).map(Optional::of))
                .orElseGet(() -> Either.right(Optional.empty()));
    }

    private static <T> Either<Failure, T> malformed(String detail) {
        return Either.left(Failure.of(ErrorKind.MALFORMED_REQUEST, detail));
    }
}
