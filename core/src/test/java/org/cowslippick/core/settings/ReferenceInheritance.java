package org.cowslippick.core.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A minimal reference implementation of inheritance: headers in order, looked up in a map of maps. */
final class ReferenceInheritance {

    private final Map<String, Map<String, String>> sections;

    ReferenceInheritance(Map<String, Map<String, String>> sections) {
        this.sections = sections;
    }

    Optional<String> value(String organisation, String service, String tier, String key) {
        return headers(organisation, service, tier).stream()
                .filter(header -> sections.getOrDefault(header, Map.of()).containsKey(key))
                .findFirst()
                .map(header -> sections.get(header).get(key) + " from " + header);
    }

    private List<String> headers(String organisation, String service, String tier) {
        List<String> headers = new ArrayList<>();
        String current = organisation;
        while (current != null) {
            headers.add("organisation " + current + " service " + service + " tier " + tier);
            headers.add("organisation " + current + " service " + service);
            headers.add("organisation " + current);
            current = sections.getOrDefault("organisation " + current, Map.of()).get("parent");
        }
        headers.add("service " + service + " tier " + tier);
        headers.add("service " + service);
        headers.add("tier " + tier);
        headers.add("defaults");
        return headers;
    }
}
