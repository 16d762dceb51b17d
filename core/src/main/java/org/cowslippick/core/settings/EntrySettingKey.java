package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.Optional;

/** The keys of an entry's settings file, each with its section, type and default. */
public enum EntrySettingKey {
    NAME("entry", "name", SettingType.NAME, Presence.REQUIRED),
    FAILURE_DOMAIN("entry", "failure-domain", SettingType.NAME, Presence.REQUIRED),
    REGION("entry", "region", SettingType.NAME, Presence.REQUIRED),
    CALLER_ADDRESS("entry", "caller-address", SettingType.ADDRESS, Presence.REQUIRED),
    PEER_ADDRESS("entry", "peer-address", SettingType.ADDRESS, Presence.REQUIRED),
    MAXIMUM_BODY_BYTES("entry", "maximum-body-bytes", SettingType.POSITIVE_COUNT, "1048576"),
    PLATFORM_ADDRESS("platform", "address", SettingType.ADDRESS, Presence.REQUIRED),
    PLATFORM_CALLS_PER_SECOND("platform", "calls-per-second", SettingType.POSITIVE_COUNT, "20"),
    PEER_KEYS("peers", "keys", SettingType.SECRETS, Presence.REQUIRED),
    LOG_LEVEL("log", "level", SettingType.LOG_LEVEL, "info"),
    TLS_CERTIFICATE("tls", "certificate", SettingType.FILE, Presence.OPTIONAL),
    TLS_KEY("tls", "key", SettingType.FILE, Presence.OPTIONAL);

    private final String section;
    private final String text;
    private final SettingType type;
    private final Presence presence;
    private final String defaultValue;

    EntrySettingKey(String section, String text, SettingType type, Presence presence) {
        this(section, text, type, presence, "");
    }

    EntrySettingKey(String section, String text, SettingType type, String defaultValue) {
        this(section, text, type, Presence.DEFAULTED, defaultValue);
    }

    EntrySettingKey(String section, String text, SettingType type, Presence presence, String defaultValue) {
        this.section = section;
        this.text = text;
        this.type = type;
        this.presence = presence;
        this.defaultValue = defaultValue;
    }

    public String section() {
        return section;
    }

    /** Returns the key as written in the file, such as {@code caller-address}. */
    public String text() {
        return text;
    }

    public SettingType type() {
        return type;
    }

    /** Whether a file without the key is rejected. */
    public boolean isRequired() {
        return presence == Presence.REQUIRED;
    }

    /** Returns the value that applies if the file does not set the key. */
    public Optional<String> defaultValue() {
        return presence == Presence.DEFAULTED ? Optional.of(defaultValue) : Optional.empty();
    }

    /** Finds a key by its section and text. */
    public static Optional<EntrySettingKey> parse(String section, String text) {
        return Arrays.stream(values())
                .filter(key -> key.section.equals(section) && key.text.equals(text))
                .findFirst();
    }

    /** Returns the names of all sections, in order of declaration. */
    public static ImmutableSet<String> sections() {
        return Arrays.stream(values()).map(EntrySettingKey::section).collect(ImmutableSet.toImmutableSet());
    }

    private enum Presence {
        REQUIRED,
        DEFAULTED,
        OPTIONAL
    }
}
