package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSetMultimap;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.cowslippick.core.world.OrganisationName;

/** Validates sections against each other: references must resolve, and values must not conflict. */
final class SettingsValidator {

    private SettingsValidator() {}

    static ImmutableList<SettingsFault> validate(SettingsDocument document) {
        return Stream.of(
                        document.sections().values().stream()
                                .flatMap(section -> unresolvedReferences(document, section)),
                        document.sections().values().stream().flatMap(section -> missingKeys(section)),
                        invalidParents(document),
                        duplicateCredentials(document),
                        duplicateRanks(document))
                .flatMap(faults -> faults)
                .collect(ImmutableList.toImmutableList());
    }

    private static Stream<SettingsFault> missingKeys(SettingsSection section) {
        return Stream.of(SettingKey.values())
                .filter(key -> key.isRequiredIn(section.name().kind()))
                .filter(key -> section.value(key).isEmpty())
                .map(key -> fault(section, key, "the key is missing"));
    }

    private static Stream<SettingsFault> unresolvedReferences(SettingsDocument document, SettingsSection section) {
        return Stream.concat(
                unresolvedNames(document, section),
                Stream.concat(
                        unresolvedValues(document, section, SettingKey.FAILURE_DOMAIN, SectionKind.FAILURE_DOMAIN),
                        Stream.concat(
                                unresolvedValues(document, section, SettingKey.PARENT, SectionKind.ORGANISATION),
                                unresolvedValues(document, section, SettingKey.TIERS, SectionKind.TIER))));
    }

    /** Reports missing sections that a header refers to, such as the organisation and the service in its names. */
    private static Stream<SettingsFault> unresolvedNames(SettingsDocument document, SettingsSection section) {
        return section.name().referencedSections().stream()
                .filter(referenced -> document.section(referenced).isEmpty())
                .map(referenced ->
                        new SettingsFault(section.name().toString(), "", 0, "there is no [" + referenced + "]"));
    }

    private static Stream<SettingsFault> unresolvedValues(
            SettingsDocument document, SettingsSection section, SettingKey key, SectionKind target) {
        return section.value(key).stream()
                .flatMap(value -> SettingType.parseList(value).stream())
                .map(name -> new SectionName(target, ImmutableList.of(name)))
                .filter(referenced -> document.section(referenced).isEmpty())
                .map(referenced -> fault(section, key, "there is no [" + referenced + "]"));
    }

    private static Stream<SettingsFault> invalidParents(SettingsDocument document) {
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

    private static Stream<SettingsFault> duplicateCredentials(SettingsDocument document) {
        return duplicates(
                document,
                SettingKey.CREDENTIAL_SHA256,
                section -> SettingType.parseList(
                        section.value(SettingKey.CREDENTIAL_SHA256).orElse("")),
                "another organisation has the same credential");
    }

    private static Stream<SettingsFault> duplicateRanks(SettingsDocument document) {
        return duplicates(
                document,
                SettingKey.RANK,
                section -> section.value(SettingKey.RANK).map(ImmutableList::of).orElseGet(ImmutableList::of),
                "another tier has the same rank");
    }

    private static Stream<SettingsFault> duplicates(
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
