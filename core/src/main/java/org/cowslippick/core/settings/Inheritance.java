package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.TierName;

/**
 * Finds the sections that a value can be inherited from, nearest first. The time of a look-up depends on how many
 * parents an organisation has, which is bounded, and not on how many organisations there are.
 */
final class Inheritance {

    /** More parents above one organisation are refused. */
    static final int MAXIMUM_PARENTS = 16;

    private final ImmutableMap<SectionName, SettingsSection> sections;

    Inheritance(SettingsDocument document) {
        this.sections = ImmutableMap.copyOf(document.sections());
    }

    /** The first value of the key among the sections. */
    static Optional<ResolvedSetting> first(Iterable<SettingsSection> nearestFirst, SettingKey key) {
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

    /** The sections that hold for a tier of a service of an organisation. */
    ImmutableList<SettingsSection> of(OrganisationName organisation, ServiceName service, TierName tier) {
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

    /** The sections that hold for a service of an organisation whatever the tier. */
    ImmutableList<SettingsSection> of(OrganisationName organisation, ServiceName service) {
        ImmutableList.Builder<SettingsSection> found = ImmutableList.builder();
        for (String ancestor : ancestors(organisation)) {
            add(found, organisationService(ancestor, service));
            add(found, organisation(ancestor));
        }
        add(found, SectionName.service(service));
        add(found, SectionName.DEFAULTS);
        return found.build();
    }

    /** The sections of the names that exist, in the same order. */
    ImmutableList<SettingsSection> existing(Iterable<SectionName> names) {
        ImmutableList.Builder<SettingsSection> found = ImmutableList.builder();
        names.forEach(name -> add(found, name));
        return found.build();
    }

    /** The names of the organisation, its parent and so on, up to one level more than the check allows. */
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
