package org.cowslippick.core.settings;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The types of setting values, each with its validation. */
public enum SettingType {
    DURATION("a positive duration such as 530ms, 20s or 5m") {
        @Override
        boolean accepts(String value) {
            return parseDuration(value).isPresent();
        }
    },
    COUNT("a whole number from 0 to 2147483647") {
        @Override
        boolean accepts(String value) {
            return WHOLE_NUMBER.matcher(value).matches() && Long.parseLong(value) <= Integer.MAX_VALUE;
        }
    },
    POSITIVE_COUNT("a whole number from 1 to 2147483647") {
        @Override
        boolean accepts(String value) {
            return COUNT.accepts(value) && Long.parseLong(value) > 0;
        }
    },
    POSITIVE_NUMBER("a positive number") {
        @Override
        boolean accepts(String value) {
            return DECIMAL.matcher(value).matches() && Double.parseDouble(value) > 0;
        }
    },
    YES_OR_NO("yes or no") {
        @Override
        boolean accepts(String value) {
            return value.equals("yes") || value.equals("no");
        }
    },
    ADDRESS("an address such as 10.0.0.7:8080") {
        @Override
        boolean accepts(String value) {
            return parseAddress(value).isPresent();
        }
    },
    NAME("a name of letters, digits, '.', '_' and '-'") {
        @Override
        boolean accepts(String value) {
            return NAME_PATTERN.matcher(value).matches();
        }
    },
    NAMES("names separated by commas") {
        @Override
        boolean accepts(String value) {
            return parseList(value).stream().allMatch(NAME::accepts);
        }
    },
    HASHES("SHA-256 hashes in hexadecimal, separated by commas") {
        @Override
        boolean accepts(String value) {
            return parseList(value).stream().allMatch(hash -> HASH.matcher(hash).matches());
        }
    },
    ENDPOINT_KIND("model or application") {
        @Override
        boolean accepts(String value) {
            return value.equals("model") || value.equals("application");
        }
    },
    DISPATCH_RULE("idempotent, run-once or dispatch-once") {
        @Override
        boolean accepts(String value) {
            return value.equals("idempotent") || value.equals("run-once") || value.equals("dispatch-once");
        }
    },
    FENCING("checked or ignored") {
        @Override
        boolean accepts(String value) {
            return value.equals("checked") || value.equals("ignored");
        }
    },
    LOG_LEVEL("error, warning, info or debug") {
        @Override
        boolean accepts(String value) {
            return LogLevel.parse(value).isPresent();
        }
    },
    FILE("the path of a file") {
        @Override
        boolean accepts(String value) {
            return !value.isEmpty();
        }
    },
    SECRETS("secrets of at least 16 characters, separated by commas") {
        @Override
        boolean accepts(String value) {
            ImmutableList<String> secrets = parseList(value);
            return !secrets.isEmpty()
                    && secrets.stream().allMatch(secret -> secret.length() >= MINIMUM_SECRET_LENGTH_CHARACTERS);
        }

        @Override
        String describe(String _value) {
            return "the value";
        }
    };

    private static final int MAXIMUM_DESCRIBED_CHARACTERS = 200;
    private static final int MINIMUM_SECRET_LENGTH_CHARACTERS = 16;

    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,10}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,9})?");
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");
    private static final Splitter COMMAS = Splitter.on(',').trimResults().omitEmptyStrings();

    private final String expectation;

    SettingType(String expectation) {
        this.expectation = expectation;
    }

    abstract boolean accepts(String value);

    /** Returns the value for use in error messages, cut if it is long; secrets are redacted. */
    String describe(String value) {
        return value.length() <= MAXIMUM_DESCRIBED_CHARACTERS
                ? "\"" + value + "\""
                : "\"" + value.substring(0, MAXIMUM_DESCRIBED_CHARACTERS) + "...\" (" + value.length() + " characters)";
    }

    /** Returns why the value is rejected, or empty if it is valid. */
    public final Optional<String> validate(String value) {
        return accepts(value) ? Optional.empty() : Optional.of(describe(value) + " is not " + expectation);
    }

    /** Returns a description of valid values, for error messages and docs/SETTINGS.md. */
    public String expectation() {
        return expectation;
    }

    /** Parses a duration such as {@code 530ms}; empty if it is malformed or not positive. */
    public static Optional<Duration> parseDuration(String value) {
        Matcher matcher = DURATION_PATTERN.matcher(value);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long amount = Long.parseLong(matcher.group(1));
        Duration duration =
                switch (matcher.group(2)) {
                    case "ms" -> Duration.ofMillis(amount);
                    case "s" -> Duration.ofSeconds(amount);
                    case "m" -> Duration.ofMinutes(amount);
                    default -> Duration.ofHours(amount);
                };
        return Optional.of(duration).filter(positive -> !positive.isZero());
    }

    /** Parses an address; empty if it is malformed or has no port. */
    public static Optional<HostAndPort> parseAddress(String value) {
        try {
            return Optional.of(HostAndPort.fromString(value))
                    .filter(HostAndPort::hasPort)
                    .filter(address -> !address.getHost().isEmpty());
        } catch (IllegalArgumentException notAnAddress) {
            return Optional.empty();
        }
    }

    /** Parses a comma-separated list. */
    public static ImmutableList<String> parseList(String value) {
        return ImmutableList.copyOf(COMMAS.split(value));
    }
}
