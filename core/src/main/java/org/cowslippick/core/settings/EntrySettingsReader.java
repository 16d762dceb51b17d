package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/** Checks the sections of an entry's settings file and collects every fault. */
final class EntrySettingsReader {

    private final Map<EntryKey, String> values = new EnumMap<>(EntryKey.class);
    private final Map<String, Integer> headerLines = new HashMap<>();
    private final List<SettingsFault> faults = new ArrayList<>();

    private EntrySettingsReader() {}

    static Either<ImmutableList<SettingsFault>, EntrySettings> read(ImmutableList<IniSection> sections) {
        EntrySettingsReader reader = new EntrySettingsReader();
        sections.forEach(reader::readSection);
        reader.checkMissing();
        reader.checkTls();
        return reader.faults.isEmpty()
                ? Either.right(reader.settings())
                : Either.left(ImmutableList.copyOf(reader.faults));
    }

    private void readSection(IniSection section) {
        if (!EntryKey.sections().contains(section.header())) {
            faults.add(new SettingsFault(section.header(), "", section.line(), "no such section"));
            return;
        }
        if (headerLines.putIfAbsent(section.header(), section.line()) != null) {
            faults.add(new SettingsFault(section.header(), "", section.line(), "the section stands twice"));
            return;
        }
        section.entries().forEach(entry -> readEntry(section.header(), entry));
    }

    private void readEntry(String section, IniEntry entry) {
        Optional<EntryKey> key = EntryKey.parse(section, entry.key());
        Optional<String> problem = key.isEmpty() ? Optional.of("no such key") : problem(key.get(), entry.value());
        problem.ifPresent(text -> faults.add(new SettingsFault(section, entry.key(), entry.line(), text)));
        key.ifPresent(known -> values.putIfAbsent(known, entry.value()));
    }

    private Optional<String> problem(EntryKey key, String value) {
        return values.containsKey(key)
                ? Optional.of("the key stands twice")
                : key.type().validate(value);
    }

    private void checkMissing() {
        for (EntryKey key : EntryKey.values()) {
            if (key.required() && !values.containsKey(key)) {
                addFault(key, "the key is missing");
            }
        }
    }

    private void checkTls() {
        if (values.containsKey(EntryKey.TLS_CERTIFICATE) != values.containsKey(EntryKey.TLS_KEY)) {
            EntryKey missing = values.containsKey(EntryKey.TLS_KEY) ? EntryKey.TLS_CERTIFICATE : EntryKey.TLS_KEY;
            addFault(missing, "certificate and key must be set together");
        }
    }

    private void addFault(EntryKey key, String problem) {
        int line = headerLines.getOrDefault(key.section(), 0);
        faults.add(new SettingsFault(key.section(), key.text(), line, problem));
    }

    private EntrySettings settings() {
        return new EntrySettings(
                instance(),
                Integer.parseInt(value(EntryKey.MAXIMUM_BODY_BYTES)),
                new EntrySettings.PlatformAccess(
                        address(EntryKey.PLATFORM_ADDRESS),
                        Integer.parseInt(value(EntryKey.PLATFORM_CALLS_PER_SECOND))),
                SettingType.parseList(value(EntryKey.PEER_KEYS)),
                LogLevel.parse(value(EntryKey.LOG_LEVEL)).orElseThrow(),
                tls());
    }

    private Instance instance() {
        FailureDomain failureDomain =
                new FailureDomain(value(EntryKey.FAILURE_DOMAIN), new Region(value(EntryKey.REGION)));
        return new Instance(
                new InstanceName(value(EntryKey.NAME)),
                failureDomain,
                address(EntryKey.CALLER_ADDRESS),
                address(EntryKey.PEER_ADDRESS));
    }

    private Optional<EntrySettings.TlsFiles> tls() {
        return Optional.ofNullable(values.get(EntryKey.TLS_CERTIFICATE))
                .map(certificate -> new EntrySettings.TlsFiles(Path.of(certificate), Path.of(value(EntryKey.TLS_KEY))));
    }

    private HostAndPort address(EntryKey key) {
        return HostAndPort.fromString(value(key));
    }

    private String value(EntryKey key) {
        return Optional.ofNullable(values.get(key)).or(key::defaultValue).orElseThrow();
    }
}
