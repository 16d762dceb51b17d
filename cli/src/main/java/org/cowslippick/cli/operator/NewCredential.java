package org.cowslippick.cli.operator;

import com.google.common.io.BaseEncoding;
import java.security.SecureRandom;
import org.cowslippick.cli.Report;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.settings.SettingsTree;

/** A random credential; only its hash goes into the settings. */
record NewCredential(String value) {

    private static final int SIZE_BYTES = 32;

    static NewCredential random() {
        byte[] bytes = new byte[SIZE_BYTES];
        new SecureRandom().nextBytes(bytes);
        return new NewCredential(BaseEncoding.base64Url().omitPadding().encode(bytes));
    }

    String hash() {
        return SettingsTree.hashCredential(value);
    }

    Report toReport(SectionName organisation, SettingsEdit edit) {
        String text = edit.text() + "\ncredential of " + organisation + ", shown only now: " + value;
        return new Report(text, edit.json().put("credential", value));
    }

    /** Leaves out the secret. */
    @Override
    public String toString() {
        return "NewCredential";
    }
}
