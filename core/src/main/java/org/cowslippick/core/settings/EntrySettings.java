package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.Optional;
import org.cowslippick.core.world.Instance;

/**
 * The settings of one entry process, read from its own file when it starts. docs/SETTINGS.md lists the keys.
 *
 * @param instance the name, place and addresses of this process
 * @param maximumBodyBytes the largest body that a caller may send
 * @param peerKeys secrets that entries share: the first proves this entry, each of them is accepted
 * @param tls the certificate towards callers and other entries; plain connections without it
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

    /** Reads and checks the file; every fault is listed, and a file with any fault gives no settings. */
    public static Either<ImmutableList<SettingsFault>, EntrySettings> parse(String text) {
        return IniReader.read(text).flatMap(EntrySettingsReader::read);
    }

    /** Leaves out the secrets. */
    @Override
    public String toString() {
        return "EntrySettings[" + instance + ", platform " + platform.address() + ", log " + logLevel.text() + ", TLS "
                + (tls.isPresent() ? "on" : "off") + "]";
    }

    /**
     * How the process reaches the platform.
     *
     * @param callsPerSecond the most calls that this process may make; a waiting watch counts as one
     */
    public record PlatformAccess(HostAndPort address, int callsPerSecond) {}

    /** Where the certificate chain and its private key are, both in PEM. */
    public record TlsFiles(Path certificate, Path key) {}
}
