package org.cowslippick.core.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import org.junit.jupiter.api.Test;

final class EntrySettingsTest {

    private static final String VALID =
            """
            ; the entry of one failure domain
            [entry]
            name = entry-1
            failure-domain = oviedo
            region = north
            caller-address = 127.0.0.1:8080
            peer-address = 127.0.0.1:9090
            [platform]
            address = 127.0.0.1:7070
            [peers]
            keys = first-key-of-the-fleet, second-key-of-fleet
            """;

    @Test
    void readsValidFileAndAppliesDefaults() {
        EntrySettings settings = EntrySettings.parse(VALID).get();
        assertEquals("entry-1", settings.instance().name().value());
        assertEquals("north", settings.instance().region().name());
        assertEquals(9090, settings.instance().peerAddress().getPort());
        assertEquals(1 << 20, settings.maximumBodyBytes());
        assertEquals(ImmutableList.of("first-key-of-the-fleet", "second-key-of-fleet"), settings.peerKeys());
        assertEquals(LogLevel.INFO, settings.logLevel());
        assertTrue(settings.tls().isEmpty());
        assertFalse(settings.toString().contains("key-of"), settings.toString());
    }

    @Test
    void listsEveryFaultWithSectionKeyAndLine() {
        String faulty = VALID.replace("127.0.0.1:8080", "127.0.0.1")
                        .replace("region = north\n", "")
                        .replace("first-key-of-the-fleet, second-key-of-fleet", "short")
                + "[tls]\nkey = key.pem\n[log]\nlevel = loud\nlevel = info\ncolour = red\n[logs]\n[entry]\nname = b\n";
        assertEquals(
                ImmutableList.of(
                        "line 5: [entry] caller-address: \"127.0.0.1\" is not an address such as 10.0.0.7:8080",
                        "line 10: [peers] keys: the value is not secrets of at least 16 characters,"
                                + " separated by commas",
                        "line 14: [log] level: \"loud\" is not error, warning, info or debug",
                        "line 15: [log] level: the key occurs more than once",
                        "line 16: [log] colour: no such key",
                        "line 17: [logs]: no such section",
                        "line 18: [entry]: the section occurs more than once",
                        "line 2: [entry] region: the key is missing",
                        "line 11: [tls] certificate: certificate and key must be set together"),
                faults(EntrySettings.parse(faulty)));
    }

    @Test
    void listsRequiredKeysOfMissingSections() {
        assertEquals(
                ImmutableList.of("[entry] name", "[platform] address", "[peers] keys"),
                faults(EntrySettings.parse("")).stream()
                        .map(fault -> fault.replace(": the key is missing", ""))
                        .filter(place -> !place.matches(".*(domain|region|-address)"))
                        .collect(ImmutableList.toImmutableList()));
    }

    private static ImmutableList<String> faults(Either<ImmutableList<SettingsFault>, EntrySettings> read) {
        return read.getLeft().stream().map(SettingsFault::toString).collect(ImmutableList.toImmutableList());
    }
}
