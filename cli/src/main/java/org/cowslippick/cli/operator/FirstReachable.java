package org.cowslippick.cli.operator;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.function.Function;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.ExitCode;

/** Tries several ways in turn; only one that certainly did nothing is followed by the next. */
final class FirstReachable {

    private FirstReachable() {}

    static <W, T> Either<CommandFailure, T> of(ImmutableList<W> ways, Function<W, Either<CommandFailure, T>> call) {
        ImmutableList.Builder<String> unreachable = ImmutableList.builder();
        for (W way : ways) {
            Either<CommandFailure, T> result = call.apply(way);
            if (result.isRight() || result.getLeft().exitCode() != ExitCode.UNREACHABLE) {
                return result;
            }
            unreachable.addAll(result.getLeft().lines());
        }
        return Either.left(new CommandFailure(ExitCode.UNREACHABLE, unreachable.build()));
    }
}
