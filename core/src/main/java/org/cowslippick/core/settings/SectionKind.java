package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.Optional;

/** The kinds of sections in the settings tree, each written as alternating words and names. */
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

    private static final ImmutableMap<ImmutableList<String>, SectionKind> BY_WORDS =
            Maps.uniqueIndex(ImmutableList.copyOf(values()), SectionKind::words);

    private final ImmutableList<String> words;

    SectionKind(String... words) {
        this.words = ImmutableList.copyOf(words);
    }

    /** The fixed words of a section header, such as {@code organisation} and {@code service}. */
    public ImmutableList<String> words() {
        return words;
    }

    /** How many names a section of this kind has. */
    public int nameCount() {
        return this == DEFAULTS ? 0 : words.size();
    }

    static Optional<SectionKind> ofWords(ImmutableList<String> words) {
        return Optional.ofNullable(BY_WORDS.get(words));
    }

    /** The kind whose header is this one word and a name. */
    static SectionKind ofWord(String word) {
        return ofWords(ImmutableList.of(word)).orElseThrow();
    }
}
