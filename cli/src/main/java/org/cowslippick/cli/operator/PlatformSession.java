package org.cowslippick.cli.operator;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.net.URI;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.ExitCode;
import org.cowslippick.core.time.SystemTimerService;
import org.cowslippick.fleet.platform.HttpPlatform;
import org.cowslippick.fleet.settings.SettingsStore;

/** The connection of one command to the platform. */
final class PlatformSession implements AutoCloseable {

    private final SystemTimerService timer = new SystemTimerService(_failure -> {});
    private final HttpPlatform platform;
    private final SettingsStore store;

    PlatformSession(HostAndPort address) {
        this.platform = HttpPlatform.standalone(URI.create("http://" + address), timer);
        this.store = new SettingsStore(platform, timer);
    }

    PlatformSettingsAccess settings(String operator) {
        return new PlatformSettingsAccess(store, operator);
    }

    /** The caller addresses of the instances that the platform lists. */
    Either<CommandFailure, ImmutableList<HostAndPort>> entryAddresses() {
        return platform.instances()
                .join()
                .map(instances -> instances.stream()
                        .map(listed -> listed.instance().callerAddress())
                        .collect(ImmutableList.toImmutableList()))
                .mapLeft(fault ->
                        CommandFailure.of(ExitCode.UNREACHABLE, "the platform gave no list of instances: " + fault));
    }

    @Override
    public void close() {
        platform.close();
        timer.close();
    }
}
