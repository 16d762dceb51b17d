package org.cowslippick.cli.operator;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import joptsimple.OptionParser;
import org.cowslippick.cli.Command;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.ExitCode;
import org.cowslippick.cli.Invocation;
import org.cowslippick.cli.Report;
import org.cowslippick.cli.Table;
import org.cowslippick.core.settings.SectionKind;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.settings.SettingKey;
import org.cowslippick.core.settings.SettingsDocument;
import org.cowslippick.core.settings.SettingsSection;

/** Creates, changes, shows, lists and removes the objects of one kind. */
public final class ObjectCommand implements Command {

    private static final String ACTIONS = "create, set, show, list or remove";

    private final SectionKind kind;

    /** Creates the command for a kind of section whose header has exactly one name. */
    public ObjectCommand(SectionKind kind) {
        this.kind = kind;
    }

    @Override
    public void declareOptions(OptionParser parser) {
        OperatorOptions.declare(parser);
    }

    @Override
    public Either<CommandFailure, Report> run(Invocation invocation) {
        String action = invocation.argument(0).orElse("");
        return switch (action) {
            case "list" -> OperatorSession.run(invocation, this::list);
            case "show" -> withName(invocation, this::show);
            case "create" -> withName(invocation, (session, name) -> create(session, name, keyValues(invocation)));
            case "set" -> withName(invocation, (session, name) -> set(session, name, keyValues(invocation)));
            case "remove" -> withName(invocation, this::remove);
            default -> Either.left(CommandFailure.usage("action \"" + action + "\" is not " + ACTIONS));
        };
    }

    private Either<CommandFailure, Report> withName(Invocation invocation, NamedAction namedAction) {
        if (invocation.argument(1).isEmpty()) {
            return Either.left(CommandFailure.usage("the name is missing"));
        }
        return KeyValueArguments.validateNames(new SectionName(
                        kind, ImmutableList.of(invocation.argument(1).get())))
                .flatMap(name -> OperatorSession.run(invocation, session -> namedAction.run(session, name)));
    }

    private static List<String> keyValues(Invocation invocation) {
        return invocation.arguments().subList(2, invocation.arguments().size());
    }

    private Either<CommandFailure, Report> list(OperatorSession session) {
        return session.settings().read().map(current -> toTable(current.document())
                .toReport());
    }

    private Table toTable(SettingsDocument document) {
        ImmutableList<SettingsSection> sections = document.sections().values().stream()
                .filter(section -> section.name().kind() == kind)
                .collect(ImmutableList.toImmutableList());
        ImmutableList<SettingKey> keys = Stream.of(SettingKey.values())
                .filter(key -> key != SettingKey.CREDENTIAL_SHA256)
                .filter(key ->
                        sections.stream().anyMatch(section -> section.value(key).isPresent()))
                .collect(ImmutableList.toImmutableList());
        return new Table(
                Stream.concat(Stream.of("name"), keys.stream().map(SettingKey::text))
                        .collect(ImmutableList.toImmutableList()),
                sections.stream().map(section -> row(section, keys)).collect(ImmutableList.toImmutableList()));
    }

    private static ImmutableList<String> row(SettingsSection section, ImmutableList<SettingKey> keys) {
        return Stream.concat(
                        Stream.of(section.name().names().get(0)),
                        keys.stream().map(key -> section.value(key).orElse("")))
                .collect(ImmutableList.toImmutableList());
    }

    private Either<CommandFailure, Report> show(OperatorSession session, SectionName name) {
        return session.settings().read().flatMap(current -> requireSection(current.document(), name)
                .map(_section -> SettingsTable.of(sectionsUnder(current.document(), name))
                        .toReport()));
    }

    private Either<CommandFailure, Report> create(OperatorSession session, SectionName name, List<String> keyValues) {
        Optional<NewCredential> credential =
                kind == SectionKind.ORGANISATION ? Optional.of(NewCredential.generate()) : Optional.empty();
        return session.settings()
                .edit(document -> create(document, name, keyValues, credential))
                .map(result -> credential
                        .map(present -> present.toReport(name, result))
                        .orElseGet(result::toReport));
    }

    private static Either<CommandFailure, SettingsDocument> create(
            SettingsDocument document, SectionName name, List<String> keyValues, Optional<NewCredential> credential) {
        if (document.section(name).isPresent()) {
            return Either.left(CommandFailure.of(ExitCode.REFUSED, "[" + name + "] exists already"));
        }
        SettingsSection empty = new SettingsSection(name, ImmutableList.of());
        SettingsSection section = credential
                .map(present -> empty.with(SettingKey.CREDENTIAL_SHA256, present.hash()))
                .orElse(empty);
        return KeyValueArguments.apply(section, keyValues).map(document::with);
    }

    private Either<CommandFailure, Report> set(OperatorSession session, SectionName name, List<String> keyValues) {
        return session.settings()
                .edit(document -> requireSection(document, name)
                        .flatMap(section -> KeyValueArguments.apply(section, keyValues))
                        .map(document::with))
                .map(SettingsEditResult::toReport);
    }

    private Either<CommandFailure, Report> remove(OperatorSession session, SectionName name) {
        return session.settings()
                .edit(document -> requireSection(document, name).map(_section -> withoutSubtree(document, name)))
                .map(SettingsEditResult::toReport);
    }

    private static SettingsDocument withoutSubtree(SettingsDocument document, SectionName name) {
        ImmutableList<SettingsSection> removed = sectionsUnder(document, name);
        return SettingsDocument.of(document.sections().values().stream()
                .filter(section -> !removed.contains(section))
                .toList());
    }

    /** The section and the sections below it, such as those for the services of an organisation. */
    private static ImmutableList<SettingsSection> sectionsUnder(SettingsDocument document, SectionName name) {
        return document.sections().values().stream()
                .filter(section -> section.name().isWithin(name))
                .collect(ImmutableList.toImmutableList());
    }

    private static Either<CommandFailure, SettingsSection> requireSection(SettingsDocument document, SectionName name) {
        return document.section(name)
                .map(Either::<CommandFailure, SettingsSection>right)
                .orElseGet(() -> Either.left(CommandFailure.of(ExitCode.REFUSED, "there is no [" + name + "]")));
    }

    private interface NamedAction {
        Either<CommandFailure, Report> run(OperatorSession session, SectionName name);
    }
}
