package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.fleet.platform.PlatformFault;

/** A source of settings: the platform or a peer. Futures never complete exceptionally. */
public interface SettingsSource {

    CompletableFuture<Either<PlatformFault, SettingsRoot>> root();

    /** Reads chunk texts by name; missing chunks are omitted from the result. */
    CompletableFuture<Either<PlatformFault, ImmutableMap<String, String>>> chunks(ImmutableSet<String> names);
}
