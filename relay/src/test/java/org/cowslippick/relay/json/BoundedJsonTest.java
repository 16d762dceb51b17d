package org.cowslippick.relay.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The object mapper is the reference for texts within the bounds. */
class BoundedJsonTest {

    private static final ObjectMapper REFERENCE = new ObjectMapper();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "[]",
                "\"a \\\"quoted\\\" \\u20ac text\"",
                "{\"a\":[1,-2,3.5,1e3,true,false,null,{\"b\":\"\"}],\"c\":{\"d\":123456789012345678}}",
                "{\"a\":1,\"a\":2}",
                "[9223372036854775807,-9223372036854775808,0.30000000000000004,-1.7976931348623157E308,24633.333333333332]"
            })
    void readsAndWritesLikeTheObjectMapper(String text) throws Exception {
        JsonNode expected = REFERENCE.readTree(text);
        assertEquals(expected.toString(), BoundedJson.write(BoundedJson.read(text)));
    }

    @Test
    void readsWhatExceedsTheBoundsAsNull() throws Exception {
        JsonNode read = BoundedJson.read("{\"deep\":" + "[".repeat(50_000) + "]".repeat(50_000) + ",\"long\":"
                + "7".repeat(50_000) + ",\"b\":1}");
        assertTrue(read.path("long").isNull());
        assertTrue(BoundedJson.read("9223372036854775808").isNull());
        assertEquals(1, read.path("b").asInt());
        assertTrue(BoundedJson.write(read.path("deep")).length() < 100);
    }

    @ParameterizedTest
    @ValueSource(strings = {"{", "{\"a\":", "[1,", "{\"a\" 1}", "[1 2]", "nul"})
    void rejectsWhatIsNotJson(String text) {
        assertThrows(JsonProcessingException.class, () -> BoundedJson.read(text));
    }
}
