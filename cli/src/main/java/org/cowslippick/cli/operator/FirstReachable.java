package org.cowslippick.cli.operator;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.function.Function;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.ExitCode;

/** Calls targets in order until one can be reached. The next is tried only if the previous certainly did nothing. */
final class FirstReachable {

    private FirstReachable() {}

    static <T, R> Either<CommandFailure, R> call(
            ImmutableList<T> targets, Function<T, Either<CommandFailure, R>> function) {
        ImmutableList.Builder<String> unreachable = ImmutableList.builder();
        for (T target : targets) {
            Either<CommandFailure, R> result = function.apply(target);
            if (result.isRight() || result.getLeft().exitCode() != ExitCode.UNREACHABLE) {
                return result;
            }
            unreachable.addAll(result.getLeft().lines());
        }
        return Either.left(new CommandFailure(ExitCode.UNREACHABLE, unreachable.build()));
    }
}
