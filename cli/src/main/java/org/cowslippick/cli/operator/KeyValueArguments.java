package org.cowslippick.cli.operator;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.ExitCode;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.settings.SettingKey;
import org.cowslippick.core.settings.SettingType;
import org.cowslippick.core.settings.SettingsSection;

/** The KEY=VALUE arguments of a command, applied to one section. An empty value removes the key. */
final class KeyValueArguments {

    private KeyValueArguments() {}

    static Either<CommandFailure, SettingsSection> apply(SettingsSection section, List<String> arguments) {
        return arguments.stream()
                .reduce(
                        Either.right(section),
                        (changed, argument) -> changed.flatMap(current -> apply(current, argument)),
                        (first, _second) -> first);
    }

    static Either<CommandFailure, SectionName> parseSectionName(String header) {
        return SectionName.parse(header)
                .map(KeyValueArguments::validateNames)
                .orElseGet(() -> Either.left(
                        CommandFailure.usage("section \"" + header + "\" is of no known kind, or a name is missing")));
    }

    static Either<CommandFailure, SectionName> validateNames(SectionName section) {
        return section.names().stream()
                .map(SettingType.NAME::validate)
                .<String>mapMulti(Optional::ifPresent)
                .findFirst()
                .map(problem -> Either.<CommandFailure, SectionName>left(CommandFailure.usage(problem)))
                .orElseGet(() -> Either.right(section));
    }

    private static Either<CommandFailure, SettingsSection> apply(SettingsSection section, String argument) {
        int separator = argument.indexOf('=');
        if (separator < 0) {
            return Either.left(CommandFailure.usage("argument \"" + argument + "\" is not KEY=VALUE"));
        }
        String value = argument.substring(separator + 1).strip();
        return parseKey(section.name(), argument.substring(0, separator).strip())
                .flatMap(key -> apply(section, key, value));
    }

    private static Either<CommandFailure, SettingsSection> apply(
            SettingsSection section, SettingKey key, String value) {
        if (value.isEmpty()) {
            return Either.right(section.without(key));
        }
        return key.type()
                .validate(value)
                .map(problem -> Either.<CommandFailure, SettingsSection>left(
                        CommandFailure.of(ExitCode.REFUSED, "[" + section.name() + "] " + key.text() + ": " + problem)))
                .orElseGet(() -> Either.right(section.with(key, value)));
    }

    private static Either<CommandFailure, SettingKey> parseKey(SectionName section, String text) {
        Optional<SettingKey> key = SettingKey.parse(text).filter(known -> known.isAllowedIn(section.kind()));
        return key.map(Either::<CommandFailure, SettingKey>right)
                .orElseGet(() -> Either.left(CommandFailure.of(
                        ExitCode.REFUSED,
                        "[" + section + "] " + text + ": no such key; known are " + allowedKeys(section))));
    }

    private static String allowedKeys(SectionName section) {
        return ImmutableList.copyOf(SettingKey.values()).stream()
                .filter(key -> key.isAllowedIn(section.kind()))
                .map(SettingKey::text)
                .reduce((first, second) -> first + ", " + second)
                .orElse("none");
    }
}
