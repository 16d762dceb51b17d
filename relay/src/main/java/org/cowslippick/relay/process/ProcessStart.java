package org.cowslippick.relay.process;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import org.cowslippick.relay.log.JsonLogHandler;
import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/** What a process does around its start. */
public final class ProcessStart {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.daemon");

    /** Only tells the channels of this process apart from those of others in Netty's own log lines. */
    private static final String NETTY_MACHINE_ID = "00:00:00:00:00:00:00:01";

    private static final int EXIT_FAILED = 1;

    private ProcessStart() {}

    /** Spares the start a scan of the network interfaces, and a second logging facade. */
    public static void configureNetty() {
        System.setProperty("io.netty.machineId", NETTY_MACHINE_ID);
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /** Ends a process that cannot start, as the platform restarts only what ends; other threads would keep it alive. */
    public static void exitAfter(Throwable failure) {
        LOGGER.error(LogLine.of("start-failed"), failure);
        JsonLogHandler.awaitWritten();
        System.exit(EXIT_FAILED);
    }
}
