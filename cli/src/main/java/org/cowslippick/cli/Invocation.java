package org.cowslippick.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import joptsimple.OptionSet;

/**
 * One invocation of a subcommand.
 *
 * @param arguments the arguments after the name of the subcommand, without options
 */
public record Invocation(OptionSet options, ImmutableList<String> arguments, ImmutableMap<String, String> environment) {

    /**
     * The value of the option, or of the environment variable if the option is absent. An empty value counts as none,
     * so an empty option also hides the variable.
     */
    public Optional<String> optionOrVariable(String option, String variable) {
        return Optional.ofNullable((String) options.valueOf(option))
                .or(() -> Optional.ofNullable(environment.get(variable)))
                .filter(value -> !value.isEmpty());
    }

    /** The argument at the index, counting from 0. */
    public Optional<String> argument(int index) {
        return index < arguments.size() ? Optional.of(arguments.get(index)) : Optional.empty();
    }
}
