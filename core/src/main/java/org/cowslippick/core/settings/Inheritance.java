package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.TierName;

/**
 * Finds the sections that a value can be inherited from, nearest first. The cost of a lookup depends on the depth of
 * the parent chain, which is bounded, and not on the number of organisations.
 */
final class Inheritance {

    /** The maximum depth of parents above an organisation; settings that exceed it are rejected. */
    static final int MAXIMUM_PARENTS = 16;

    private final ImmutableMap<SectionName, SettingsSection> sections;

    Inheritance(SettingsDocument document) {
        this.sections = ImmutableMap.copyOf(document.sections());
    }

    /** Returns the value of the key in the first section that sets it. */
    static Optional<ResolvedSetting> firstValue(Iterable<SettingsSection> nearestFirst, SettingKey key) {
        for (SettingsSection section : nearestFirst) {
            Optional<String> value = section.value(key);
            if (value.isPresent()) {
                return Optional.of(new ResolvedSetting(key, value.get(), section.name(), false));
            }
        }
        return Optional.empty();
    }

    Optional<SettingsSection> section(SectionName name) {
        return Optional.ofNullable(sections.get(name));
    }

    /** Returns the sections that apply to a tier of a service of an organisation. */
    ImmutableList<SettingsSection> sectionsFor(OrganisationName organisation, ServiceName service, TierName tier) {
        ImmutableList.Builder<SettingsSection> found = ImmutableList.builder();
        for (String ancestor : ancestors(organisation)) {
            add(found, organisationServiceTier(ancestor, service, tier));
            add(found, organisationService(ancestor, service));
            add(found, organisation(ancestor));
        }
        add(found, SectionName.serviceTier(service, tier));
        add(found, SectionName.service(service));
        add(found, SectionName.tier(tier));
        add(found, SectionName.DEFAULTS);
        return found.build();
    }

    /** Returns the sections that apply to a service of an organisation at every tier. */
    ImmutableList<SettingsSection> sectionsFor(OrganisationName organisation, ServiceName service) {
        ImmutableList.Builder<SettingsSection> found = ImmutableList.builder();
        for (String ancestor : ancestors(organisation)) {
            add(found, organisationService(ancestor, service));
            add(found, organisation(ancestor));
        }
        add(found, SectionName.service(service));
        add(found, SectionName.DEFAULTS);
        return found.build();
    }

    /** Returns the sections that exist among the names, in the same order. */
    ImmutableList<SettingsSection> existingSections(Iterable<SectionName> names) {
        ImmutableList.Builder<SettingsSection> found = ImmutableList.builder();
        names.forEach(name -> add(found, name));
        return found.build();
    }

    /**
     * Returns the organisation and its parents, nearest first. The list ends after one parent more than the maximum
     * depth, so that validation detects chains that are too long and cycles.
     */
    ImmutableList<String> ancestors(OrganisationName organisation) {
        ImmutableList.Builder<String> ancestors = ImmutableList.builder();
        Optional<String> current = Optional.of(organisation.value());
        for (int level = 0; level <= MAXIMUM_PARENTS + 1 && current.isPresent(); level++) {
            ancestors.add(current.get());
            current = section(organisation(current.get())).flatMap(section -> section.value(SettingKey.PARENT));
        }
        return ancestors.build();
    }

    static SectionName organisation(String organisation) {
        return new SectionName(SectionKind.ORGANISATION, ImmutableList.of(organisation));
    }

    static SectionName organisationService(String organisation, ServiceName service) {
        return new SectionName(SectionKind.ORGANISATION_SERVICE, ImmutableList.of(organisation, service.value()));
    }

    static SectionName organisationServiceTier(String organisation, ServiceName service, TierName tier) {
        return new SectionName(
                SectionKind.ORGANISATION_SERVICE_TIER, ImmutableList.of(organisation, service.value(), tier.value()));
    }

    private void add(ImmutableList.Builder<SettingsSection> found, SectionName name) {
        SettingsSection section = sections.get(name);
        if (section != null) {
            found.add(section);
        }
    }
}
