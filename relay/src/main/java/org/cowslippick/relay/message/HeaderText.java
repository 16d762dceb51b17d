package org.cowslippick.relay.message;

import com.google.common.base.CharMatcher;
import java.nio.charset.StandardCharsets;

/** Encodes any text as the value of a header. */
public final class HeaderText {

    private static final CharMatcher CONTROL_CHARACTERS = CharMatcher.javaIsoControl();

    private HeaderText() {}

    /**
     * Returns the text in UTF-8, one byte in each character, as headers are written. Control characters, which a header
     * cannot hold, are replaced by spaces (RFC 9110, section 5.5); spaces around a value are not part of it.
     */
    public static String encode(String text) {
        String printable = CONTROL_CHARACTERS.replaceFrom(text, ' ').strip();
        return new String(printable.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }
}
