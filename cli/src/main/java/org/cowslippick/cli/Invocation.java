package org.cowslippick.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import joptsimple.OptionSet;

/**
 * One call of a subcommand.
 *
 * @param arguments what is left beside options and the name of the subcommand
 */
public record Invocation(OptionSet options, ImmutableList<String> arguments, ImmutableMap<String, String> environment) {

    /** The value of an option, or else of an environment variable. */
    public Optional<String> value(String option, String variable) {
        return Optional.ofNullable((String) options.valueOf(option))
                .or(() -> Optional.ofNullable(environment.get(variable)))
                .filter(value -> !value.isEmpty());
    }

    /** The argument at the index, counted from 0. */
    public Optional<String> argument(int index) {
        return index < arguments.size() ? Optional.of(arguments.get(index)) : Optional.empty();
    }
}
