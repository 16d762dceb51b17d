package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Sets;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The sections of a settings tree as operators write them; keys and value types are checked, references are not. */
public final class SettingsDocument {

    public static final SettingsDocument EMPTY = new SettingsDocument(ImmutableSortedMap.of());

    private final ImmutableSortedMap<SectionName, SettingsSection> sections;

    private SettingsDocument(ImmutableSortedMap<SectionName, SettingsSection> sections) {
        this.sections = sections;
    }

    /** Builds a document from sections; a later section of the same name replaces an earlier one. */
    public static SettingsDocument of(Iterable<SettingsSection> sections) {
        Map<SectionName, SettingsSection> byName = new HashMap<>();
        sections.forEach(section -> byName.put(section.name(), section));
        return new SettingsDocument(ImmutableSortedMap.copyOf(byName));
    }

    /** Reads INI text; every fault is listed, and a text with any fault gives no document. */
    public static Either<ImmutableList<SettingsFault>, SettingsDocument> parse(String text) {
        return IniReader.read(text).flatMap(SettingsDocument::parse);
    }

    private static Either<ImmutableList<SettingsFault>, SettingsDocument> parse(ImmutableList<IniSection> read) {
        List<SettingsFault> faults = new ArrayList<>();
        Map<SectionName, SettingsSection> parsed = new HashMap<>();
        read.forEach(section -> parseSection(section, parsed, faults));
        return faults.isEmpty()
                ? Either.right(new SettingsDocument(ImmutableSortedMap.copyOf(parsed)))
                : Either.left(ImmutableList.copyOf(faults));
    }

    /** The sections in the order of their names. */
    public ImmutableSortedMap<SectionName, SettingsSection> sections() {
        return sections;
    }

    /** Finds a section. */
    public Optional<SettingsSection> section(SectionName name) {
        return Optional.ofNullable(sections.get(name));
    }

    /** Returns a document in which the section stands as given. */
    public SettingsDocument with(SettingsSection section) {
        return of(Stream.concat(sections.values().stream(), Stream.of(section)).toList());
    }

    /** Returns a document in which the key of the section has the value; the section is created if need be. */
    public SettingsDocument with(SectionName name, SettingKey key, String value) {
        return with(section(name)
                .orElseGet(() -> new SettingsSection(name, ImmutableList.of()))
                .with(key, value));
    }

    /** Returns a document without the section. */
    public SettingsDocument without(SectionName name) {
        return of(sections.values().stream()
                .filter(section -> !section.name().equals(name))
                .toList());
    }

    /** Lists every setting that differs between this document and another. */
    public ImmutableList<SettingChange> changesTo(SettingsDocument other) {
        return Sets.union(sections.keySet(), other.sections.keySet()).stream()
                .sorted()
                .filter(name -> !section(name).equals(other.section(name)))
                .flatMap(name -> changes(name, section(name), other.section(name)))
                .collect(ImmutableList.toImmutableList());
    }

    /** Writes the document as INI, always in the same order. */
    public String toIni() {
        return sections.values().stream().map(SettingsDocument::toIni).collect(Collectors.joining("\n"));
    }

    /** Writes one section as INI. */
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
        Stream<SettingChange> own = Stream.of(SettingKey.values())
                .map(key -> new SettingChange(
                        name,
                        Optional.of(key),
                        before.flatMap(section -> section.value(key)),
                        after.flatMap(section -> section.value(key))))
                .filter(change -> !change.before().equals(change.after()));
        Stream<SettingChange> whole = before.isPresent() == after.isPresent()
                ? Stream.empty()
                : Stream.of(new SettingChange(
                        name, Optional.empty(), before.map(_found -> "present"), after.map(_found -> "present")));
        return Stream.concat(whole, own);
    }

    private static void parseSection(
            IniSection section, Map<SectionName, SettingsSection> parsed, List<SettingsFault> faults) {
        Optional<SectionName> name = SectionName.parse(section.header());
        if (name.isEmpty()) {
            faults.add(new SettingsFault(
                    section.header(), "", section.line(), "no such kind of section, or a name is missing"));
            return;
        }
        if (parsed.containsKey(name.get())) {
            faults.add(new SettingsFault(section.header(), "", section.line(), "the section stands twice"));
            return;
        }
        name.get().names().stream()
                .filter(part -> !SettingType.NAME.accepts(part))
                .forEach(part -> faults.add(new SettingsFault(
                        section.header(),
                        "",
                        section.line(),
                        "\"" + part + "\" is not " + SettingType.NAME.expectation())));
        parsed.put(name.get(), new SettingsSection(name.get(), settings(name.get(), section, faults)));
    }

    private static ImmutableList<Setting> settings(SectionName name, IniSection section, List<SettingsFault> faults) {
        Map<SettingKey, String> values = new HashMap<>();
        for (IniEntry entry : section.entries()) {
            Optional<String> problem = problem(name, entry, values);
            if (problem.isPresent()) {
                faults.add(new SettingsFault(section.header(), entry.key(), entry.line(), problem.get()));
            } else {
                values.put(SettingKey.parse(entry.key()).orElseThrow(), entry.value());
            }
        }
        Stream.of(SettingKey.values())
                .filter(key -> key.requiredIn(name.kind()))
                .filter(key -> section.entries().stream()
                        .noneMatch(entry -> entry.key().equals(key.text())))
                .forEach(key -> faults.add(
                        new SettingsFault(section.header(), key.text(), section.line(), "the key is missing")));
        return values.entrySet().stream()
                .map(entry -> new Setting(entry.getKey(), entry.getValue()))
                .sorted(Comparator.comparing(Setting::key))
                .collect(ImmutableList.toImmutableList());
    }

    private static Optional<String> problem(SectionName name, IniEntry entry, Map<SettingKey, String> earlier) {
        Optional<SettingKey> key = SettingKey.parse(entry.key());
        if (key.isEmpty()) {
            return Optional.of("no such key");
        }
        if (!key.get().allowedIn(name.kind())) {
            return Optional.of("the key may not stand in this kind of section");
        }
        if (earlier.containsKey(key.get())) {
            return Optional.of("the key stands twice");
        }
        return key.get().type().problem(entry.value());
    }
}
