package org.cowslippick.cli.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.Optional;
import java.util.stream.Stream;
import joptsimple.OptionParser;
import org.cowslippick.cli.Command;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.ExitCode;
import org.cowslippick.cli.Invocation;
import org.cowslippick.cli.Report;
import org.cowslippick.cli.Table;
import org.cowslippick.cli.TextFiles;
import org.cowslippick.core.settings.Limits;
import org.cowslippick.core.settings.ResolvedSetting;
import org.cowslippick.core.settings.SectionKind;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.settings.SettingKey;
import org.cowslippick.core.settings.SettingsDocument;
import org.cowslippick.core.settings.SettingsFault;
import org.cowslippick.core.settings.SettingsSection;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.TierName;
import org.cowslippick.fleet.settings.CommitRecord;

/** Reads and changes the settings tree. */
public final class SettingsCommand implements Command {

    private static final String ACTIONS = "get, set, explain, history or apply";
    private static final ImmutableList<String> EXPLAIN_COLUMNS = ImmutableList.of("key", "value", "origin", "bounds");
    private static final ImmutableList<String> HISTORY_COLUMNS =
            ImmutableList.of("revision", "time", "operator", "changes");
    private static final int EXPLAIN_ARGUMENT_COUNT = 4;

    @Override
    public void declareOptions(OptionParser parser) {
        OperatorOptions.declare(parser);
        parser.accepts("base", "with apply: the revision that the file was made from, so that no change is lost")
                .withRequiredArg()
                .ofType(Long.class)
                .describedAs("REVISION");
    }

    @Override
    public Either<CommandFailure, Report> run(Invocation invocation) {
        String action = invocation.argument(0).orElse("");
        return switch (action) {
            case "get" -> get(invocation);
            case "set" -> set(invocation);
            case "explain" -> explain(invocation);
            case "history" -> history(invocation);
            case "apply" -> apply(invocation);
            default -> Either.left(CommandFailure.usage("action \"" + action + "\" is not " + ACTIONS));
        };
    }

    private static Either<CommandFailure, Report> get(Invocation invocation) {
        Optional<String> header = invocation.argument(1);
        if (header.isPresent()) {
            return KeyValueArguments.parseSectionName(header.get())
                    .flatMap(name -> OperatorSession.run(
                            invocation,
                            session -> session.settings().read().flatMap(current -> sectionReport(current, name))));
        }
        return OperatorSession.run(
                invocation, session -> session.settings().read().map(SettingsCommand::documentReport));
    }

    private static Report documentReport(CurrentSettings current) {
        String ini = current.document().toIni();
        return new Report(
                "; revision " + current.revision() + "\n" + ini,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("revision", current.revision())
                        .put("ini", ini));
    }

    private static Either<CommandFailure, Report> sectionReport(CurrentSettings current, SectionName name) {
        return current.document()
                .section(name)
                .map(section -> Either.<CommandFailure, Report>right(
                        SettingsTable.of(ImmutableList.of(section)).toReport()))
                .orElseGet(() -> Either.left(CommandFailure.of(ExitCode.REFUSED, "there is no [" + name + "]")));
    }

    private static Either<CommandFailure, Report> set(Invocation invocation) {
        if (invocation.argument(2).isEmpty()) {
            return Either.left(CommandFailure.usage("set needs a section and KEY=VALUE"));
        }
        return KeyValueArguments.parseSectionName(invocation.argument(1).orElseThrow())
                .flatMap(name -> OperatorSession.run(
                        invocation, session -> session.settings().edit(document -> set(document, name, invocation))))
                .map(SettingsEditResult::toReport);
    }

    private static Either<CommandFailure, SettingsDocument> set(
            SettingsDocument document, SectionName name, Invocation invocation) {
        SettingsSection section = document.section(name).orElseGet(() -> new SettingsSection(name, ImmutableList.of()));
        return KeyValueArguments.apply(
                        section,
                        invocation.arguments().subList(2, invocation.arguments().size()))
                .map(document::with);
    }

    private static Either<CommandFailure, Report> explain(Invocation invocation) {
        if (invocation.arguments().size() != EXPLAIN_ARGUMENT_COUNT) {
            return Either.left(CommandFailure.usage("explain needs an organisation, a service and a tier"));
        }
        return OperatorSession.run(
                invocation, session -> session.settings().read().flatMap(current -> explain(current, invocation)));
    }

    private static Either<CommandFailure, Report> explain(CurrentSettings current, Invocation invocation) {
        ImmutableList<SectionName> sectionNames = ImmutableList.of(
                new SectionName(SectionKind.ORGANISATION, names(invocation, 1)),
                new SectionName(SectionKind.SERVICE, names(invocation, 2)),
                new SectionName(SectionKind.TIER, names(invocation, 3)));
        Optional<SectionName> missing = sectionNames.stream()
                .filter(name -> current.document().section(name).isEmpty())
                .findFirst();
        return missing.map(name -> Either.<CommandFailure, SettingsTree>left(
                        CommandFailure.of(ExitCode.REFUSED, "there is no [" + name + "]")))
                .orElseGet(() -> SettingsTree.of(current.document()).mapLeft(SettingsCommand::toCommandFailure))
                .map(tree -> explanationTable(tree, sectionNames).toReport());
    }

    private static ImmutableList<String> names(Invocation invocation, int argument) {
        return ImmutableList.of(invocation.arguments().get(argument));
    }

    private static Table explanationTable(SettingsTree tree, ImmutableList<SectionName> sectionNames) {
        OrganisationName organisation =
                new OrganisationName(sectionNames.get(0).names().get(0));
        ServiceName service = new ServiceName(sectionNames.get(1).names().get(0));
        TierName tier = new TierName(sectionNames.get(2).names().get(0));
        Stream<ImmutableList<String>> inherited = Stream.of(SettingKey.values())
                .filter(SettingKey::isInheritable)
                .filter(key -> !Limits.KEYS.contains(key))
                .map(key -> tree.resolve(organisation, service, tier, key))
                .<ResolvedSetting>mapMulti(Optional::ifPresent)
                .map(setting -> row(setting, ""));
        Stream<ImmutableList<String>> limits = tree.limits(organisation, service, tier).stream()
                .flatMap(scope -> scope.settings().stream().map(setting -> row(setting, "[" + scope.scope() + "]")));
        return new Table(EXPLAIN_COLUMNS, Stream.concat(inherited, limits).collect(ImmutableList.toImmutableList()));
    }

    private static ImmutableList<String> row(ResolvedSetting setting, String bounds) {
        String origin = setting.builtIn() ? "(built in)" : "[" + setting.origin() + "]";
        return ImmutableList.of(setting.key().text(), setting.value(), origin, bounds);
    }

    private static Either<CommandFailure, Report> history(Invocation invocation) {
        return OperatorSession.run(invocation, session -> session.history().map(commits -> new Table(
                        HISTORY_COLUMNS,
                        commits.stream().map(SettingsCommand::row).collect(ImmutableList.toImmutableList()))
                .toReport()));
    }

    private static ImmutableList<String> row(CommitRecord commit) {
        int unlistedCount = commit.changeCount() - commit.changes().size();
        return ImmutableList.of(
                Long.toString(commit.revision()),
                Instant.ofEpochMilli(commit.atMilliseconds()).toString(),
                commit.operator(),
                String.join("; ", commit.changes()) + (unlistedCount > 0 ? "; and " + unlistedCount + " more" : ""));
    }

    private static Either<CommandFailure, Report> apply(Invocation invocation) {
        return invocation
                .argument(1)
                .map(file -> readFile(file)
                        .flatMap(document -> OperatorSession.run(
                                invocation, session -> apply(session.settings(), document, invocation)))
                        .map(SettingsEditResult::toReport))
                .orElseGet(() -> Either.left(CommandFailure.usage("apply needs a file")));
    }

    private static Either<CommandFailure, SettingsEditResult> apply(
            SettingsEditor editor, SettingsDocument document, Invocation invocation) {
        Optional<Long> base = Optional.ofNullable((Long) invocation.options().valueOf("base"));
        return editor.read().flatMap(current -> base.filter(revision -> revision != current.revision())
                .map(revision ->
                        Either.<CommandFailure, SettingsEditResult>left(baseMismatch(revision, current.revision())))
                .orElseGet(() -> editor.commit(current, document)));
    }

    private static CommandFailure baseMismatch(long base, long current) {
        return CommandFailure.of(
                ExitCode.CONFLICT,
                "option --base: the file was made from revision " + base + ", but the settings are at revision "
                        + current);
    }

    private static Either<CommandFailure, SettingsDocument> readFile(String file) {
        return TextFiles.read(file)
                .flatMap(text -> SettingsDocument.parse(text).mapLeft(SettingsCommand::toCommandFailure));
    }

    private static CommandFailure toCommandFailure(ImmutableList<SettingsFault> faults) {
        return new CommandFailure(
                ExitCode.REFUSED,
                faults.stream().map(SettingsFault::toString).collect(ImmutableList.toImmutableList()));
    }
}
