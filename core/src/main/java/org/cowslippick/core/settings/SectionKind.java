package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.Optional;

/** The kinds of sections of the settings tree, whose headers alternate between keywords and names. */
public enum SectionKind {
    DEFAULTS("defaults"),
    FAILURE_DOMAIN("failure-domain"),
    LINK("link", "to"),
    TIER("tier"),
    SERVICE("service"),
    SERVICE_TIER("service", "tier"),
    ENDPOINT("endpoint"),
    ORGANISATION("organisation"),
    ORGANISATION_SERVICE("organisation", "service"),
    ORGANISATION_SERVICE_TIER("organisation", "service", "tier");

    private static final ImmutableMap<ImmutableList<String>, SectionKind> BY_KEYWORDS =
            Maps.uniqueIndex(ImmutableList.copyOf(values()), SectionKind::keywords);

    private final ImmutableList<String> keywords;

    SectionKind(String... keywords) {
        this.keywords = ImmutableList.copyOf(keywords);
    }

    /** Returns the keywords of the section header, such as {@code organisation} and {@code service}. */
    public ImmutableList<String> keywords() {
        return keywords;
    }

    /** Returns the number of names in the header of a section of this kind. */
    public int nameCount() {
        return this == DEFAULTS ? 0 : keywords.size();
    }

    static Optional<SectionKind> forKeywords(ImmutableList<String> keywords) {
        return Optional.ofNullable(BY_KEYWORDS.get(keywords));
    }

    /** Returns the kind whose header is the keyword followed by one name. */
    static SectionKind forKeyword(String keyword) {
        return forKeywords(ImmutableList.of(keyword)).orElseThrow();
    }
}
