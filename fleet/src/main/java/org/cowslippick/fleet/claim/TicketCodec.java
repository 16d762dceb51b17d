package org.cowslippick.fleet.claim;

import com.google.common.base.Splitter;
import com.google.common.io.BaseEncoding;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.List;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;

/** Issues tickets, and converts them to signed text and back. */
public final class TicketCodec {

    private static final int SPACE_BYTES = 16;
    private static final BaseEncoding ENCODING = BaseEncoding.base64Url().omitPadding();
    private static final Splitter PARTS = Splitter.on('.').limit(2);
    private static final Splitter FIELDS = Splitter.on('/');

    private final SigningKeys keys;
    private final SecureRandom random = new SecureRandom();

    public TicketCodec(SigningKeys keys) {
        this.keys = keys;
    }

    /** Issues a ticket with a new random namespace. */
    public Ticket issue(InstanceName entry, Incarnation incarnation, OrganisationName organisation, Instant expiry) {
        byte[] space = new byte[SPACE_BYTES];
        random.nextBytes(space);
        return new Ticket(
                entry,
                incarnation,
                organisation,
                ENCODING.encode(space),
                Instant.ofEpochSecond(expiry.getEpochSecond()));
    }

    /** Returns the signed text that is sent to a caller. */
    public String write(Ticket ticket) {
        String fields = String.join(
                "/",
                ticket.entry().value(),
                Long.toString(ticket.incarnation().number()),
                ticket.organisation().value(),
                ticket.space(),
                Long.toString(ticket.expiry().getEpochSecond()));
        return ENCODING.encode(fields.getBytes(StandardCharsets.UTF_8)) + "." + keys.sign(fields);
    }

    /**
     * Parses a caller's ticket. A text that no entry can have issued is malformed. A ticket with an unknown signature
     * may have been signed with a key that was removed since, so the outcome of requests sent under it is unknown.
     */
    public Either<Failure, Ticket> read(String text) {
        return Try.of(() -> parse(text))
                .toEither()
                .mapLeft(_problem -> Failure.of(ErrorKind.MALFORMED_REQUEST, "the ticket has no valid format"))
                .flatMap(signed -> keys.verifies(signed.fields(), signed.signature())
                        ? Either.right(signed.ticket())
                        : Either.left(Failure.of(
                                ErrorKind.ALREADY_DISPATCHED,
                                "the ticket's signing key is unknown; a request sent under it may have run")));
    }

    private static SignedTicket parse(String text) {
        List<String> parts = PARTS.splitToList(text);
        String fields = new String(ENCODING.decode(parts.get(0)), StandardCharsets.UTF_8);
        List<String> values = FIELDS.splitToList(fields);
        Ticket ticket = new Ticket(
                new InstanceName(values.get(0)),
                new Incarnation(Long.parseLong(values.get(1))),
                new OrganisationName(values.get(2)),
                values.get(3),
                Instant.ofEpochSecond(Long.parseLong(values.get(4))));
        return new SignedTicket(ticket, fields, parts.get(1));
    }

    private record SignedTicket(Ticket ticket, String fields, String signature) {}
}
