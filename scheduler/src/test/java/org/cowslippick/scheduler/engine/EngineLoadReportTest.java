package org.cowslippick.scheduler.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EngineLoadReportTest {

    @Test
    void readsThreeAndFourFields() {
        assertEquals(Optional.of(new EngineLoadReport(3, 1, 7, Optional.empty())), EngineLoadReport.parse("3,1,7"));
        assertEquals(
                Optional.of(new EngineLoadReport(3, 1, 7, Optional.of(142.5))),
                EngineLoadReport.parse(" 3, 1, 7, 142.5 "));
    }

    /** A value that is out of range would make the endpoint appear free of cost, or unusable. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ",",
                "3",
                "3,1",
                "3,1,7,",
                "3,1,7,100,1",
                "a,1,7",
                "3,1,7,x",
                "-3,1,7",
                "3,1,7,-5",
                "3,1,7,0",
                "3,1,7,NaN",
                "3,1,7,Infinity",
                "3,1,7,10001",
                "3,1,7,1e300",
                "99999999999,1,7",
                "3;1;7"
            })
    void ignoresMalformedValues(String text) {
        assertEquals(Optional.empty(), EngineLoadReport.parse(text));
    }
}
