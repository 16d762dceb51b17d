package org.cowslippick.entry.daemon;

import java.time.Duration;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.fleet.claim.TicketCodec;

/** Issues tickets that name this entry and its current incarnation. */
final class TicketIssuer {

    private static final Duration LIFETIME = Duration.ofMinutes(10);

    private final TicketCodec codec;
    private final InstanceName entry;
    private final Incarnation incarnation;
    private final TimerService timer;

    TicketIssuer(TicketCodec codec, InstanceName entry, Incarnation incarnation, TimerService timer) {
        this.codec = codec;
        this.entry = entry;
        this.incarnation = incarnation;
        this.timer = timer;
    }

    String issue(OrganisationName organisation) {
        return codec.write(
                codec.issue(entry, incarnation, organisation, timer.now().plus(LIFETIME)));
    }
}
