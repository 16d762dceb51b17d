package org.cowslippick.cli.operator;

import com.google.common.io.BaseEncoding;
import java.security.SecureRandom;
import org.cowslippick.cli.Report;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.settings.SettingsTree;

/** A newly generated credential. Only its hash is stored in the settings. */
record NewCredential(String value) {

    private static final int SIZE_BYTES = 32;

    static NewCredential generate() {
        byte[] bytes = new byte[SIZE_BYTES];
        new SecureRandom().nextBytes(bytes);
        return new NewCredential(BaseEncoding.base64Url().omitPadding().encode(bytes));
    }

    String hash() {
        return SettingsTree.hashCredential(value);
    }

    Report toReport(SectionName organisation, SettingsEditResult result) {
        String text = result.text() + "\ncredential of " + organisation + ", shown only now: " + value;
        return new Report(text, result.json().put("credential", value));
    }

    /** Omits the secret, so that it cannot get into logs or error messages. */
    @Override
    public String toString() {
        return "NewCredential";
    }
}
