package org.cowslippick.relay.endpoint;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.Locale;

/** The result of opening a connection to an endpoint. */
public enum ProbeResult {
    ACCEPTED(false),
    /** No process listens at the address. */
    REFUSED(true),
    /** Nothing arrived in time, as from an endpoint behind a partition. */
    SILENT(false);

    private final boolean showsCrash;

    ProbeResult(boolean showsCrash) {
        this.showsCrash = showsCrash;
    }

    static ProbeResult ofFailure(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException) ? REFUSED : SILENT;
    }

    /** Whether the process of an endpoint that has just broken off its responses must have ended. */
    public boolean showsCrash() {
        return showsCrash;
    }

    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
