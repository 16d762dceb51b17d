package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSetMultimap;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Checks what one section says against the others: that all names exist and that nothing contradicts. */
final class SettingsCheck {

    private SettingsCheck() {}

    static ImmutableList<SettingsFault> faults(SettingsDocument document) {
        return Stream.of(
                        document.sections().values().stream().flatMap(section -> references(document, section)),
                        document.sections().values().stream().flatMap(section -> requiredKeys(section)),
                        parentCycles(document),
                        sharedCredentials(document),
                        sharedRanks(document))
                .flatMap(faults -> faults)
                .collect(ImmutableList.toImmutableList());
    }

    private static Stream<SettingsFault> requiredKeys(SettingsSection section) {
        return Stream.of(SettingKey.values())
                .filter(key -> key.requiredIn(section.name().kind()))
                .filter(key -> section.value(key).isEmpty())
                .map(key -> fault(section, key, "the key is missing"));
    }

    private static Stream<SettingsFault> references(SettingsDocument document, SettingsSection section) {
        return Stream.concat(
                nameReferences(document, section),
                Stream.concat(
                        keyReference(document, section, SettingKey.FAILURE_DOMAIN, SectionKind.FAILURE_DOMAIN),
                        Stream.concat(
                                keyReference(document, section, SettingKey.PARENT, SectionKind.ORGANISATION),
                                keyReference(document, section, SettingKey.TIERS, SectionKind.TIER))));
    }

    /** A section about an organisation's service needs the section of the organisation and that of the service. */
    private static Stream<SettingsFault> nameReferences(SettingsDocument document, SettingsSection section) {
        SectionName name = section.name();
        if (name.kind() == SectionKind.LINK || name.kind().nameCount() < 2) {
            return Stream.empty();
        }
        return IntStream.range(0, name.names().size())
                .mapToObj(index -> SectionName.parse(name.kind().words().get(index) + " "
                                + name.names().get(index))
                        .orElseThrow())
                .filter(referenced -> document.section(referenced).isEmpty())
                .map(referenced -> new SettingsFault(name.toString(), "", 0, "there is no [" + referenced + "]"));
    }

    private static Stream<SettingsFault> keyReference(
            SettingsDocument document, SettingsSection section, SettingKey key, SectionKind target) {
        return section.value(key).stream()
                .flatMap(value -> SettingType.names(value).stream())
                .map(name -> new SectionName(target, ImmutableList.of(name)))
                .filter(referenced -> document.section(referenced).isEmpty())
                .map(referenced -> fault(section, key, "there is no [" + referenced + "]"));
    }

    private static Stream<SettingsFault> parentCycles(SettingsDocument document) {
        return document.sections().values().stream()
                .filter(section -> section.name().kind() == SectionKind.ORGANISATION)
                .filter(section -> inCycle(document, section))
                .map(section -> fault(section, SettingKey.PARENT, "the parents form a cycle"));
    }

    private static boolean inCycle(SettingsDocument document, SettingsSection start) {
        Set<SectionName> seen = new HashSet<>();
        Optional<SettingsSection> current = Optional.of(start);
        while (current.isPresent()) {
            if (!seen.add(current.get().name())) {
                return true;
            }
            current = current.get()
                    .value(SettingKey.PARENT)
                    .flatMap(parent ->
                            document.section(new SectionName(SectionKind.ORGANISATION, ImmutableList.of(parent))));
        }
        return false;
    }

    private static Stream<SettingsFault> sharedCredentials(SettingsDocument document) {
        return shared(
                document,
                SettingKey.CREDENTIAL_SHA256,
                section -> SettingType.names(
                        section.value(SettingKey.CREDENTIAL_SHA256).orElse("")),
                "another organisation has the same credential: ");
    }

    private static Stream<SettingsFault> sharedRanks(SettingsDocument document) {
        return shared(
                document,
                SettingKey.RANK,
                section -> section.value(SettingKey.RANK).map(ImmutableList::of).orElseGet(ImmutableList::of),
                "another tier has the same rank: ");
    }

    private static Stream<SettingsFault> shared(
            SettingsDocument document,
            SettingKey key,
            Function<SettingsSection, ImmutableList<String>> values,
            String problem) {
        ImmutableSetMultimap<String, SettingsSection> holders = document.sections().values().stream()
                .filter(section -> section.value(key).isPresent())
                .collect(ImmutableSetMultimap.flatteningToImmutableSetMultimap(
                        section -> section, section -> values.apply(section).stream()))
                .inverse();
        return holders.asMap().entrySet().stream()
                .filter(entry -> entry.getValue().size() > 1)
                .map(Map.Entry::getValue)
                .map(SettingsCheck::names)
                .flatMap(names -> Stream.of(new SettingsFault(names, key.text(), 0, problem + names)));
    }

    private static String names(Collection<SettingsSection> sections) {
        return sections.stream()
                .map(section -> section.name().toString())
                .sorted()
                .reduce((left, right) -> left + ", " + right)
                .orElse("");
    }

    private static SettingsFault fault(SettingsSection section, SettingKey key, String problem) {
        return new SettingsFault(section.name().toString(), key.text(), 0, problem);
    }
}
