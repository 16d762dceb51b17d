package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * The limits of one scope: an organisation, one of its services, or one tier of that service.
 *
 * @param scope the section whose traffic the limits apply to
 * @param settings the values with the sections that set them; a key without a value is unlimited
 */
public record Limits(SectionName scope, ImmutableList<ResolvedSetting> settings) {

    public static final ImmutableList<SettingKey> KEYS =
            ImmutableList.of(SettingKey.REQUESTS_PER_SECOND, SettingKey.TOKENS_PER_SECOND, SettingKey.REQUESTS_AT_ONCE);

    public OptionalDouble requestsPerSecond() {
        return number(SettingKey.REQUESTS_PER_SECOND);
    }

    public OptionalDouble tokensPerSecond() {
        return number(SettingKey.TOKENS_PER_SECOND);
    }

    /** Returns the maximum number of requests in flight. */
    public OptionalInt concurrency() {
        return value(SettingKey.REQUESTS_AT_ONCE)
                .map(value -> OptionalInt.of(Integer.parseInt(value)))
                .orElseGet(OptionalInt::empty);
    }

    /** Whether this scope has no limits. */
    public boolean isUnlimited() {
        return settings.isEmpty();
    }

    private OptionalDouble number(SettingKey key) {
        return value(key)
                .map(value -> OptionalDouble.of(Double.parseDouble(value)))
                .orElseGet(OptionalDouble::empty);
    }

    private Optional<String> value(SettingKey key) {
        return settings.stream()
                .filter(setting -> setting.key() == key)
                .map(ResolvedSetting::value)
                .findFirst();
    }
}
