package org.cowslippick.core.settings;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.TierName;

/** The header of a section, such as {@code organisation portalia service chat}. */
public record SectionName(SectionKind kind, ImmutableList<String> names) implements Comparable<SectionName> {

    public static final SectionName DEFAULTS = new SectionName(SectionKind.DEFAULTS, ImmutableList.of());

    private static final Splitter SPACES = Splitter.on(' ').omitEmptyStrings().trimResults();

    public SectionName {
        if (names.size() != kind.nameCount()) {
            throw new IllegalArgumentException(
                    "section of kind " + kind + " needs " + kind.nameCount() + " names, but has " + names);
        }
    }

    public static SectionName tier(TierName tier) {
        return new SectionName(SectionKind.TIER, ImmutableList.of(tier.value()));
    }

    public static SectionName service(ServiceName service) {
        return new SectionName(SectionKind.SERVICE, ImmutableList.of(service.value()));
    }

    public static SectionName serviceTier(ServiceName service, TierName tier) {
        return new SectionName(SectionKind.SERVICE_TIER, ImmutableList.of(service.value(), tier.value()));
    }

    public static SectionName endpoint(EndpointName endpoint) {
        return new SectionName(SectionKind.ENDPOINT, ImmutableList.of(endpoint.value()));
    }

    public static SectionName failureDomain(String failureDomain) {
        return new SectionName(SectionKind.FAILURE_DOMAIN, ImmutableList.of(failureDomain));
    }

    public static SectionName organisation(OrganisationName organisation) {
        return new SectionName(SectionKind.ORGANISATION, ImmutableList.of(organisation.value()));
    }

    public static SectionName organisationService(OrganisationName organisation, ServiceName service) {
        return new SectionName(
                SectionKind.ORGANISATION_SERVICE, ImmutableList.of(organisation.value(), service.value()));
    }

    public static SectionName organisationServiceTier(
            OrganisationName organisation, ServiceName service, TierName tier) {
        return new SectionName(
                SectionKind.ORGANISATION_SERVICE_TIER,
                ImmutableList.of(organisation.value(), service.value(), tier.value()));
    }

    /** Parses a section header; empty if it is not of a known kind. */
    public static Optional<SectionName> parse(String header) {
        ImmutableList<String> parts = ImmutableList.copyOf(SPACES.split(header));
        ImmutableList<String> keywords = everySecond(parts, 0);
        ImmutableList<String> names = everySecond(parts, 1);
        return SectionKind.forKeywords(keywords)
                .filter(kind -> kind.nameCount() == names.size())
                .map(kind -> new SectionName(kind, names));
    }

    /** Returns the sections that this one requires, such as those of the organisation and service in its header. */
    ImmutableList<SectionName> referencedSections() {
        return kind.nameCount() < 2 || kind == SectionKind.LINK
                ? ImmutableList.of()
                : IntStream.range(0, names.size())
                        .mapToObj(index -> new SectionName(
                                SectionKind.forKeyword(kind.keywords().get(index)), ImmutableList.of(names.get(index))))
                        .collect(ImmutableList.toImmutableList());
    }

    /** Whether this is the other section or a subsection of it, such as a service of an organisation. */
    public boolean isWithin(SectionName other) {
        return kind.keywords().size() >= other.kind.keywords().size()
                && kind.keywords().subList(0, other.kind.keywords().size()).equals(other.kind.keywords())
                && names.subList(0, Math.min(names.size(), other.names.size())).equals(other.names);
    }

    /** Returns the header as written between the brackets. */
    @Override
    public String toString() {
        return IntStream.range(0, kind.keywords().size())
                .mapToObj(index -> kind.nameCount() == 0
                        ? kind.keywords().get(index)
                        : kind.keywords().get(index) + " " + names.get(index))
                .reduce((left, right) -> left + " " + right)
                .orElseThrow();
    }

    @Override
    public int compareTo(SectionName other) {
        int byKind = kind.compareTo(other.kind);
        if (byKind != 0) {
            return byKind;
        }
        for (int index = 0; index < names.size(); index++) {
            int byName = names.get(index).compareTo(other.names.get(index));
            if (byName != 0) {
                return byName;
            }
        }
        return 0;
    }

    private static ImmutableList<String> everySecond(ImmutableList<String> parts, int first) {
        return IntStream.range(0, parts.size())
                .filter(index -> index % 2 == first)
                .mapToObj(parts::get)
                .collect(ImmutableList.toImmutableList());
    }
}
