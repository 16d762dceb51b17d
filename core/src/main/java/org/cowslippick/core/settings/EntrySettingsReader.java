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

/** Validates the sections of an entry's settings file and collects all faults. */
final class EntrySettingsReader {

    private final Map<EntrySettingKey, String> values = new EnumMap<>(EntrySettingKey.class);
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
        if (!EntrySettingKey.sections().contains(section.header())) {
            faults.add(new SettingsFault(section.header(), "", section.line(), "no such section"));
            return;
        }
        if (headerLines.putIfAbsent(section.header(), section.line()) != null) {
            faults.add(new SettingsFault(section.header(), "", section.line(), "the section occurs more than once"));
            return;
        }
        section.entries().forEach(entry -> readEntry(section.header(), entry));
    }

    private void readEntry(String section, IniEntry entry) {
        Optional<EntrySettingKey> key = EntrySettingKey.parse(section, entry.key());
        Optional<String> problem = key.isEmpty() ? Optional.of("no such key") : problem(key.get(), entry.value());
        problem.ifPresent(text -> faults.add(new SettingsFault(section, entry.key(), entry.line(), text)));
        key.ifPresent(known -> values.putIfAbsent(known, entry.value()));
    }

    private Optional<String> problem(EntrySettingKey key, String value) {
        return values.containsKey(key)
                ? Optional.of("the key occurs more than once")
                : key.type().validate(value);
    }

    private void checkMissing() {
        for (EntrySettingKey key : EntrySettingKey.values()) {
            if (key.isRequired() && !values.containsKey(key)) {
                addFault(key, "the key is missing");
            }
        }
    }

    private void checkTls() {
        if (values.containsKey(EntrySettingKey.TLS_CERTIFICATE) != values.containsKey(EntrySettingKey.TLS_KEY)) {
            EntrySettingKey missing = values.containsKey(EntrySettingKey.TLS_KEY)
                    ? EntrySettingKey.TLS_CERTIFICATE
                    : EntrySettingKey.TLS_KEY;
            addFault(missing, "certificate and key must be set together");
        }
    }

    private void addFault(EntrySettingKey key, String problem) {
        int line = headerLines.getOrDefault(key.section(), 0);
        faults.add(new SettingsFault(key.section(), key.text(), line, problem));
    }

    private EntrySettings settings() {
        return new EntrySettings(
                instance(),
                Integer.parseInt(value(EntrySettingKey.MAXIMUM_BODY_BYTES)),
                new EntrySettings.PlatformAccess(
                        address(EntrySettingKey.PLATFORM_ADDRESS),
                        Integer.parseInt(value(EntrySettingKey.PLATFORM_CALLS_PER_SECOND))),
                SettingType.parseList(value(EntrySettingKey.PEER_KEYS)),
                LogLevel.parse(value(EntrySettingKey.LOG_LEVEL)).orElseThrow(),
                tls());
    }

    private Instance instance() {
        FailureDomain failureDomain =
                new FailureDomain(value(EntrySettingKey.FAILURE_DOMAIN), new Region(value(EntrySettingKey.REGION)));
        return new Instance(
                new InstanceName(value(EntrySettingKey.NAME)),
                failureDomain,
                address(EntrySettingKey.CALLER_ADDRESS),
                address(EntrySettingKey.PEER_ADDRESS));
    }

    private Optional<EntrySettings.TlsFiles> tls() {
        return Optional.ofNullable(values.get(EntrySettingKey.TLS_CERTIFICATE))
                .map(certificate ->
                        new EntrySettings.TlsFiles(Path.of(certificate), Path.of(value(EntrySettingKey.TLS_KEY))));
    }

    private HostAndPort address(EntrySettingKey key) {
        return HostAndPort.fromString(value(key));
    }

    private String value(EntrySettingKey key) {
        return Optional.ofNullable(values.get(key)).or(key::defaultValue).orElseThrow();
    }
}
