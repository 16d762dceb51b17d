package org.cowslippick.core.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

final class SettingsDocumentTest {

    @Property(seed = "1", tries = 100)
    void parsesItsOwnOutput(@ForAll @IntRange(min = 0, max = 100_000) int rank, @ForAll boolean withDefaults) {
        String ini = "[tier urgent]\nrank = " + rank + "\nweight = 8\n" + (withDefaults ? "[defaults]\n" : "");
        SettingsDocument document = SettingsDocument.parse(ini).get();
        assertEquals(document, SettingsDocument.parse(document.toIni()).get());
    }
}
