package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Sets;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The sections of a settings tree as operators write them. Keys and value types are validated; references between
 * sections are not.
 */
public final class SettingsDocument {

    public static final SettingsDocument EMPTY = new SettingsDocument(ImmutableSortedMap.of());

    private final ImmutableSortedMap<SectionName, SettingsSection> sections;

    private SettingsDocument(ImmutableSortedMap<SectionName, SettingsSection> sections) {
        this.sections = sections;
    }

    /** Creates a document from sections; a later section replaces an earlier one with the same name. */
    public static SettingsDocument of(Iterable<SettingsSection> sections) {
        return EMPTY.withAll(sections);
    }

    /** Parses INI text. Returns either all faults or, if there are none, the document. */
    public static Either<ImmutableList<SettingsFault>, SettingsDocument> parse(String text) {
        return IniReader.read(text).flatMap(SettingsDocument::parse);
    }

    private static Either<ImmutableList<SettingsFault>, SettingsDocument> parse(ImmutableList<IniSection> read) {
        SectionReader reader = new SectionReader();
        read.forEach(reader::read);
        return reader.faults().isEmpty()
                ? Either.right(EMPTY.withAll(reader.sections()))
                : Either.left(reader.faults());
    }

    /** Returns the sections, ordered by name. */
    public ImmutableSortedMap<SectionName, SettingsSection> sections() {
        return sections;
    }

    public Optional<SettingsSection> section(SectionName name) {
        return Optional.ofNullable(sections.get(name));
    }

    /** Returns a copy with the section added or replaced. */
    public SettingsDocument with(SettingsSection section) {
        return withAll(ImmutableList.of(section));
    }

    /** Returns a copy in which the section sets the key to the value; a missing section is created. */
    public SettingsDocument with(SectionName name, SettingKey key, String value) {
        return with(section(name)
                .orElseGet(() -> new SettingsSection(name, ImmutableList.of()))
                .with(key, value));
    }

    /** Returns a copy without the section. */
    public SettingsDocument without(SectionName name) {
        return of(sections.values().stream()
                .filter(section -> !section.name().equals(name))
                .toList());
    }

    /** Returns the changes that turn this document into the other. */
    public ImmutableList<SettingChange> changesTo(SettingsDocument other) {
        return Sets.union(sections.keySet(), other.sections.keySet()).stream()
                .sorted()
                .filter(name -> !section(name).equals(other.section(name)))
                .flatMap(name -> changes(name, section(name), other.section(name)))
                .collect(ImmutableList.toImmutableList());
    }

    /** Formats the document as INI, with sections and keys in a fixed order. */
    public String toIni() {
        return sections.values().stream().map(SettingsDocument::toIni).collect(Collectors.joining("\n"));
    }

    /** Formats one section as INI. */
    public static String toIni(SettingsSection section) {
        return "[" + section.name() + "]\n"
                + section.settings().stream()
                        .map(setting -> setting.key().text() + " = " + setting.value() + "\n")
                        .collect(Collectors.joining());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SettingsDocument document && sections.equals(document.sections);
    }

    @Override
    public int hashCode() {
        return sections.hashCode();
    }

    private static Stream<SettingChange> changes(
            SectionName name, Optional<SettingsSection> before, Optional<SettingsSection> after) {
        Stream<SettingChange> settingChanges = Stream.of(SettingKey.values())
                .map(key -> new SettingChange(
                        name,
                        Optional.of(key),
                        before.flatMap(section -> section.value(key)),
                        after.flatMap(section -> section.value(key))))
                .filter(change -> !change.before().equals(change.after()));
        Stream<SettingChange> sectionChange = before.isPresent() == after.isPresent()
                ? Stream.empty()
                : Stream.of(new SettingChange(
                        name, Optional.empty(), before.map(_found -> "present"), after.map(_found -> "present")));
        return Stream.concat(sectionChange, settingChanges);
    }

    /** Returns a copy with the sections added, without sorting the existing ones again. */
    private SettingsDocument withAll(Iterable<SettingsSection> added) {
        TreeMap<SectionName, SettingsSection> copy = new TreeMap<>(sections);
        added.forEach(section -> copy.put(section.name(), section));
        return new SettingsDocument(ImmutableSortedMap.copyOfSorted(copy));
    }
}
