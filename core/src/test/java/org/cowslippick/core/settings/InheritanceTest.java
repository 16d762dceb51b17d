package org.cowslippick.core.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.TierName;

/** Compares the settings tree with a reference implementation on random trees, before and after a change. */
final class InheritanceTest {

    private static final ImmutableList<String> TIERS = ImmutableList.of("urgent", "batch");
    private static final ImmutableList<String> SERVICES = ImmutableList.of("chat", "booking");
    private static final ImmutableList<String> ORGANISATIONS = ImmutableList.of("a", "b", "c", "d", "e");
    private static final double PARENT_PROBABILITY = 0.7;
    private static final double SECTION_PROBABILITY = 0.6;
    private static final double KEY_PROBABILITY = 0.4;

    @Property(seed = "1", tries = 300)
    void resolvesLikeTheReferenceImplementation(@ForAll long seed) {
        Random random = new Random(seed);
        Map<String, Map<String, String>> sections = randomSections(random);
        assertMatchesReference(sections);
        removeParentLinksTo(sections, ORGANISATIONS.get(0));
        sections.put("defaults", new TreeMap<>(Map.of("deadline", "3s")));
        assertMatchesReference(sections);
    }

    private static void assertMatchesReference(Map<String, Map<String, String>> sections) {
        SettingsTree tree = SettingsTree.parse(ini(sections)).get();
        ReferenceInheritance reference = new ReferenceInheritance(sections);
        for (String organisation : ORGANISATIONS) {
            for (String service : SERVICES) {
                for (String tier : TIERS) {
                    assertEquals(
                            reference
                                    .value(organisation, service, tier, "deadline")
                                    .orElse("60s from defaults"),
                            resolved(tree, organisation, service, tier),
                            ini(sections));
                }
            }
        }
    }

    private static String resolved(SettingsTree tree, String organisation, String service, String tier) {
        ResolvedSetting setting = tree.resolve(
                        new OrganisationName(organisation),
                        new ServiceName(service),
                        new TierName(tier),
                        SettingKey.DEADLINE)
                .orElseThrow();
        return setting.value() + " from " + setting.origin();
    }

    private static void removeParentLinksTo(Map<String, Map<String, String>> sections, String organisation) {
        sections.values().forEach(section -> section.remove("parent", organisation));
    }

    private static Map<String, Map<String, String>> randomSections(Random random) {
        Map<String, Map<String, String>> sections = new TreeMap<>();
        TIERS.forEach(tier -> sections.put("tier " + tier, section(random, "rank", "" + TIERS.indexOf(tier))));
        sections.values().forEach(tier -> tier.put("weight", "1"));
        SERVICES.forEach(service -> sections.put("service " + service, section(random, "pool", "models")));
        SERVICES.forEach(service ->
                sections.get("service " + service).putAll(Map.of("kind", "model", "dispatch", "idempotent")));
        ORGANISATIONS.forEach(organisation ->
                sections.put("organisation " + organisation, organisationSection(random, organisation)));
        for (String service : SERVICES) {
            TIERS.forEach(tier -> addSectionAtRandom(random, sections, "service " + service + " tier " + tier));
            for (String organisation : ORGANISATIONS) {
                String header = "organisation " + organisation + " service " + service;
                addSectionAtRandom(random, sections, header);
                TIERS.forEach(tier -> addSectionAtRandom(random, sections, header + " tier " + tier));
            }
        }
        return sections;
    }

    private static void addSectionAtRandom(Random random, Map<String, Map<String, String>> sections, String header) {
        if (random.nextDouble() < SECTION_PROBABILITY) {
            sections.put(header, section(random));
        }
    }

    private static Map<String, String> organisationSection(Random random, String organisation) {
        List<String> earlier = ORGANISATIONS.subList(0, ORGANISATIONS.indexOf(organisation));
        Map<String, String> section = section(random);
        if (!earlier.isEmpty() && random.nextDouble() < PARENT_PROBABILITY) {
            section.put("parent", earlier.get(random.nextInt(earlier.size())));
        }
        return section;
    }

    private static Map<String, String> section(Random random, String... fixed) {
        Map<String, String> section = new TreeMap<>();
        if (random.nextDouble() < KEY_PROBABILITY) {
            section.put("deadline", 1 + random.nextInt(99) + "s");
        }
        if (fixed.length == 2) {
            section.put(fixed[0], fixed[1]);
        }
        return section;
    }

    private static String ini(Map<String, Map<String, String>> sections) {
        return sections.entrySet().stream()
                .map(section -> "[" + section.getKey() + "]\n"
                        + section.getValue().entrySet().stream()
                                .map(entry -> entry.getKey() + " = " + entry.getValue() + "\n")
                                .collect(Collectors.joining()))
                .collect(Collectors.joining());
    }
}
