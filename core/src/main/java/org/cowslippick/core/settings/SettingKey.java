package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import com.google.errorprone.annotations.Immutable;
import java.util.Locale;
import java.util.Optional;

/** The keys of the settings tree, each with its type and the kinds of sections that may or must contain it. */
public enum SettingKey {
    REGION(SettingType.NAME, required(SectionKind.FAILURE_DOMAIN)),
    BYTES_PER_SECOND(SettingType.POSITIVE_COUNT, required(SectionKind.LINK)),
    PRICE_PER_GIGABYTE(SettingType.POSITIVE_NUMBER, optional(SectionKind.LINK)),
    RANK(SettingType.COUNT, required(SectionKind.TIER)),
    WEIGHT(SettingType.POSITIVE_NUMBER, required(SectionKind.TIER)),
    POOL(SettingType.NAME, required(SectionKind.SERVICE, SectionKind.ENDPOINT)),
    KIND(SettingType.ENDPOINT_KIND, required(SectionKind.SERVICE, SectionKind.ENDPOINT)),
    MODEL(SettingType.NAME, optional(SectionKind.SERVICE)),
    DISPATCH(SettingType.DISPATCH_RULE, required(SectionKind.SERVICE)),
    FAILURE_DOMAIN(SettingType.NAME, required(SectionKind.ENDPOINT)),
    ADDRESS(SettingType.ADDRESS, required(SectionKind.ENDPOINT)),
    CONCURRENCY(SettingType.POSITIVE_COUNT, required(SectionKind.ENDPOINT)),
    FENCING(SettingType.FENCING, optional(SectionKind.ENDPOINT)),
    PARENT(SettingType.NAME, optional(SectionKind.ORGANISATION)),
    CREDENTIAL_SHA256(SettingType.HASHES, optional(SectionKind.ORGANISATION)),
    OPERATOR_CREDENTIAL_SHA256(SettingType.HASHES, optional(SectionKind.DEFAULTS)),
    TIERS(
            SettingType.NAMES,
            inheritedExcept(SectionKind.TIER, SectionKind.SERVICE_TIER, SectionKind.ORGANISATION_SERVICE_TIER)),
    FIRST_TOKEN(SettingType.DURATION, inherited()),
    BETWEEN_TOKENS(SettingType.DURATION, inherited()),
    DEADLINE(SettingType.DURATION, inherited()),
    CROSS_REGION(SettingType.YES_OR_NO, inherited()),
    REQUESTS_PER_SECOND(SettingType.POSITIVE_NUMBER, inheritedExcept(SectionKind.TIER)),
    TOKENS_PER_SECOND(SettingType.POSITIVE_NUMBER, inheritedExcept(SectionKind.TIER)),
    REQUESTS_AT_ONCE(SettingType.POSITIVE_COUNT, inheritedExcept(SectionKind.TIER));

    private static final ImmutableMap<String, SettingKey> BY_TEXT =
            Maps.uniqueIndex(ImmutableList.copyOf(values()), SettingKey::text);

    private final SettingType type;
    private final Placement placement;
    private final String text;

    SettingKey(SettingType type, Placement placement) {
        this.type = type;
        this.placement = placement;
        this.text = name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    public SettingType type() {
        return type;
    }

    /** Returns the key as written in settings, such as {@code first-token}. */
    public String text() {
        return text;
    }

    /** Whether a section of this kind may contain the key. */
    public boolean isAllowedIn(SectionKind kind) {
        return placement.sections.contains(kind);
    }

    /** Whether a section of this kind must contain the key. */
    public boolean isRequiredIn(SectionKind kind) {
        return placement.required && placement.sections.contains(kind);
    }

    /** Whether organisations, services and tiers inherit the value unless they override it. */
    public boolean isInheritable() {
        return placement.inherited;
    }

    /** Parses the text of a key; empty if it is unknown. */
    public static Optional<SettingKey> parse(String text) {
        return Optional.ofNullable(BY_TEXT.get(text));
    }

    private static Placement required(SectionKind... sections) {
        return new Placement(ImmutableSet.copyOf(sections), true, false);
    }

    private static Placement optional(SectionKind... sections) {
        return new Placement(ImmutableSet.copyOf(sections), false, false);
    }

    private static Placement inherited() {
        return new Placement(Placement.INHERITING, false, true);
    }

    /** Inherited, but not allowed in the given sections, because lookups of the key skip them. */
    private static Placement inheritedExcept(SectionKind... sections) {
        return new Placement(
                Sets.difference(Placement.INHERITING, ImmutableSet.copyOf(sections))
                        .immutableCopy(),
                false,
                true);
    }

    @Immutable
    private record Placement(ImmutableSet<SectionKind> sections, boolean required, boolean inherited) {

        private static final ImmutableSet<SectionKind> INHERITING = Sets.immutableEnumSet(
                SectionKind.DEFAULTS,
                SectionKind.TIER,
                SectionKind.SERVICE,
                SectionKind.SERVICE_TIER,
                SectionKind.ORGANISATION,
                SectionKind.ORGANISATION_SERVICE,
                SectionKind.ORGANISATION_SERVICE_TIER);
    }
}
