package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSetMultimap;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.cowslippick.core.world.OrganisationName;

/** Checks what one section says against the others: that all names exist and that nothing contradicts. */
final class SettingsCheck {

    private SettingsCheck() {}

    static ImmutableList<SettingsFault> faults(SettingsDocument document) {
        return Stream.of(
                        document.sections().values().stream().flatMap(section -> references(document, section)),
                        document.sections().values().stream().flatMap(section -> requiredKeys(section)),
                        parents(document),
                        sharedCredentials(document),
                        sharedRanks(document))
                .flatMap(faults -> faults)
                .collect(ImmutableList.toImmutableList());
    }

    private static Stream<SettingsFault> requiredKeys(SettingsSection section) {
        return Stream.of(SettingKey.values())
                .filter(key -> key.isRequiredIn(section.name().kind()))
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
        return section.name().referenced().stream()
                .filter(referenced -> document.section(referenced).isEmpty())
                .map(referenced ->
                        new SettingsFault(section.name().toString(), "", 0, "there is no [" + referenced + "]"));
    }

    private static Stream<SettingsFault> keyReference(
            SettingsDocument document, SettingsSection section, SettingKey key, SectionKind target) {
        return section.value(key).stream()
                .flatMap(value -> SettingType.parseList(value).stream())
                .map(name -> new SectionName(target, ImmutableList.of(name)))
                .filter(referenced -> document.section(referenced).isEmpty())
                .map(referenced -> fault(section, key, "there is no [" + referenced + "]"));
    }

    private static Stream<SettingsFault> parents(SettingsDocument document) {
        Inheritance inheritance = new Inheritance(document);
        return document.sections().values().stream()
                .filter(section -> section.value(SettingKey.PARENT).isPresent())
                .map(section ->
                        parentProblem(inheritance, section).map(problem -> fault(section, SettingKey.PARENT, problem)))
                .mapMulti(Optional::ifPresent);
    }

    private static Optional<String> parentProblem(Inheritance inheritance, SettingsSection section) {
        OrganisationName organisation =
                new OrganisationName(section.name().names().get(0));
        ImmutableList<String> ancestors = inheritance.ancestors(organisation);
        if (ImmutableSet.copyOf(ancestors).size() < ancestors.size()) {
            return Optional.of("the parents form a cycle");
        }
        return ancestors.size() > Inheritance.MAXIMUM_PARENTS + 1
                ? Optional.of("there are more than " + Inheritance.MAXIMUM_PARENTS + " levels of parents")
                : Optional.empty();
    }

    private static Stream<SettingsFault> sharedCredentials(SettingsDocument document) {
        return shared(
                document,
                SettingKey.CREDENTIAL_SHA256,
                section -> SettingType.parseList(
                        section.value(SettingKey.CREDENTIAL_SHA256).orElse("")),
                "another organisation has the same credential");
    }

    private static Stream<SettingsFault> sharedRanks(SettingsDocument document) {
        return shared(
                document,
                SettingKey.RANK,
                section -> section.value(SettingKey.RANK).map(ImmutableList::of).orElseGet(ImmutableList::of),
                "another tier has the same rank");
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
        return holders.asMap().values().stream()
                .filter(sections -> sections.size() > 1)
                .flatMap(Collection::stream)
                .map(section -> fault(section, key, problem));
    }

    private static SettingsFault fault(SettingsSection section, SettingKey key, String problem) {
        return new SettingsFault(section.name().toString(), key.text(), 0, problem);
    }
}
