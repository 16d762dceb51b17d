package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.fleet.platform.PlatformFault;

/** Somewhere to read settings from: the platform or a peer. Futures never complete exceptionally. */
public interface SettingsSource {

    /** Reads the root. */
    CompletableFuture<Either<PlatformFault, SettingsRoot>> root();

    /** Reads the texts of chunks by name; names that are not there are left out. */
    CompletableFuture<Either<PlatformFault, ImmutableMap<String, String>>> chunks(ImmutableSet<String> names);
}
