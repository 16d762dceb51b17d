package org.cowslippick.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;
import joptsimple.OptionParser;
import org.cowslippick.core.settings.EntrySettings;
import org.cowslippick.core.settings.SettingsFault;
import org.cowslippick.entry.daemon.EntryDaemon;

/** Validates the settings file and runs the entry process. Nothing is started if the file has a fault. */
final class EntryCommand implements Command {

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts("settings", "the settings file of this process")
                .withRequiredArg()
                .describedAs("FILE.ini");
    }

    @Override
    public Either<CommandFailure, Report> run(Invocation invocation) {
        return Optional.ofNullable((String) invocation.options().valueOf("settings"))
                .map(file -> readSettings(file).flatMap(EntryCommand::start))
                .orElseGet(() -> Either.left(CommandFailure.usage("option --settings is missing")));
    }

    private static Either<CommandFailure, EntrySettings> readSettings(String file) {
        return TextFiles.read(file)
                .flatMap(text -> EntrySettings.parse(text).mapLeft(faults -> toCommandFailure(file, faults)));
    }

    private static CommandFailure toCommandFailure(String file, ImmutableList<SettingsFault> faults) {
        return new CommandFailure(
                ExitCode.REFUSED,
                faults.stream().map(fault -> file + ": " + fault).collect(ImmutableList.toImmutableList()));
    }

    private static Either<CommandFailure, Report> start(EntrySettings settings) {
        EntryDaemon.run(settings);
        return Either.right(new Report("", JsonNodeFactory.instance.objectNode()));
    }
}
