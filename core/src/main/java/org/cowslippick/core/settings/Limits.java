package org.cowslippick.core.settings;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * The limits of one scope: an organisation, one of its services, or one tier of that service.
 *
 * @param scope the section whose traffic they bound
 */
public record Limits(
        SectionName scope, OptionalDouble requestsPerSecond, OptionalDouble tokensPerSecond, OptionalInt atOnce) {

    /** Whether nothing is limited in this scope. */
    public boolean unlimited() {
        return requestsPerSecond.isEmpty() && tokensPerSecond.isEmpty() && atOnce.isEmpty();
    }

    static OptionalDouble number(Optional<ResolvedSetting> setting) {
        return setting.map(found -> OptionalDouble.of(Double.parseDouble(found.value())))
                .orElseGet(OptionalDouble::empty);
    }

    static OptionalInt count(Optional<ResolvedSetting> setting) {
        return setting.map(found -> OptionalInt.of(Integer.parseInt(found.value())))
                .orElseGet(OptionalInt::empty);
    }
}
