package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.Optional;
import org.cowslippick.core.world.Instance;

/**
 * The settings of an entry process, read from its settings file at start-up. docs/SETTINGS.md lists the keys.
 *
 * @param instance the name, failure domain and addresses of this process
 * @param maximumBodyBytes the maximum size of a request body
 * @param peerKeys shared secrets of the entries: this entry authenticates with the first and accepts any of them
 * @param tls the certificate for connections from callers and other entries; without it, connections are unencrypted
 */
public record EntrySettings(
        Instance instance,
        int maximumBodyBytes,
        PlatformAccess platform,
        ImmutableList<String> peerKeys,
        LogLevel logLevel,
        Optional<TlsFiles> tls) {

    public EntrySettings {
        if (peerKeys.isEmpty()) {
            throw new IllegalArgumentException("entry " + instance.name() + " has no peer key");
        }
    }

    /** Parses and validates the file. Returns either all faults or, if there are none, the settings. */
    public static Either<ImmutableList<SettingsFault>, EntrySettings> parse(String text) {
        return IniReader.read(text).flatMap(EntrySettingsReader::read);
    }

    /** Omits the secrets, so that the settings can be logged. */
    @Override
    public String toString() {
        return "EntrySettings[" + instance + ", platform " + platform.address() + ", log " + logLevel.text() + ", TLS "
                + (tls.isPresent() ? "on" : "off") + "]";
    }

    /**
     * The connection to the platform.
     *
     * @param callsPerSecond the maximum call rate of this process; a pending watch counts as one call
     */
    public record PlatformAccess(HostAndPort address, int callsPerSecond) {}

    /** Paths of the certificate chain and its private key, both in PEM format. */
    public record TlsFiles(Path certificate, Path key) {}
}
