package org.cowslippick.cli.operator;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.util.Optional;
import joptsimple.OptionParser;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.Invocation;
import org.cowslippick.cli.TextFiles;
import org.cowslippick.core.settings.SettingType;

/** The addresses that an operator's command connects to, and the credential that it sends. */
record OperatorOptions(
        ImmutableList<HostAndPort> entries, Optional<HostAndPort> platform, Optional<String> credential) {

    private static final String ENTRY = "entry";
    private static final String PLATFORM = "platform";
    private static final String CREDENTIAL_FILE = "credential-file";
    private static final String ENTRY_VARIABLE = "COWSLIPPICK_ENTRY";
    private static final String PLATFORM_VARIABLE = "COWSLIPPICK_PLATFORM";
    private static final String CREDENTIAL_VARIABLE = "COWSLIPPICK_CREDENTIAL";
    private static final Splitter COMMA_SPLITTER =
            Splitter.on(',').trimResults().omitEmptyStrings();

    static void declare(OptionParser parser) {
        parser.accepts(ENTRY, "addresses of entries; else " + ENTRY_VARIABLE)
                .withRequiredArg()
                .describedAs("HOST:PORT[,HOST:PORT]");
        parser.accepts(PLATFORM, "address of the platform; else " + PLATFORM_VARIABLE)
                .withRequiredArg()
                .describedAs("HOST:PORT");
        parser.accepts(CREDENTIAL_FILE, "file with the credential; else " + CREDENTIAL_VARIABLE)
                .withRequiredArg()
                .describedAs("FILE");
        parser.accepts("json", "prints JSON");
    }

    static Either<CommandFailure, OperatorOptions> parse(Invocation invocation) {
        Either<CommandFailure, ImmutableList<HostAndPort>> entries = parseAddresses(invocation, ENTRY, ENTRY_VARIABLE);
        Either<CommandFailure, ImmutableList<HostAndPort>> platform =
                parseAddresses(invocation, PLATFORM, PLATFORM_VARIABLE);
        return entries.flatMap(entryList -> platform.flatMap(platformList -> credential(invocation)
                        .map(credential -> new OperatorOptions(
                                entryList, platformList.stream().findFirst(), credential))))
                .flatMap(OperatorOptions::requireAddress);
    }

    private Either<CommandFailure, OperatorOptions> requireAddress() {
        return entries.isEmpty() && platform.isEmpty()
                ? Either.left(CommandFailure.usage("one of --entry and --platform is needed"))
                : Either.right(this);
    }

    private static Either<CommandFailure, ImmutableList<HostAndPort>> parseAddresses(
            Invocation invocation, String option, String variable) {
        ImmutableList<String> texts = invocation
                .optionOrVariable(option, variable)
                .map(value -> ImmutableList.copyOf(COMMA_SPLITTER.split(value)))
                .orElseGet(ImmutableList::of);
        return texts.stream()
                .filter(text -> SettingType.parseAddress(text).isEmpty())
                .findFirst()
                .map(text -> Either.<CommandFailure, ImmutableList<HostAndPort>>left(CommandFailure.usage("option --"
                        + option + ": " + SettingType.ADDRESS.validate(text).orElse(text))))
                .orElseGet(() -> Either.right(
                        texts.stream().map(HostAndPort::fromString).collect(ImmutableList.toImmutableList())));
    }

    private static Either<CommandFailure, Optional<String>> credential(Invocation invocation) {
        Optional<String> file =
                Optional.ofNullable((String) invocation.options().valueOf(CREDENTIAL_FILE));
        return file.map(OperatorOptions::readCredential)
                .orElseGet(() -> Either.right(
                        Optional.ofNullable(invocation.environment().get(CREDENTIAL_VARIABLE))));
    }

    private static Either<CommandFailure, Optional<String>> readCredential(String file) {
        return TextFiles.read(file).map(text -> Optional.of(text.strip()));
    }
}
