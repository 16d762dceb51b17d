package org.cowslippick.entry.request;

import java.util.ArrayList;
import java.util.List;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.Receipt;

/** Records the answer and the terminal calls that a caller receives. */
final class RecordingAnswerListener implements AnswerListener {

    final StringBuilder text = new StringBuilder();
    final List<ErrorKind> failures = new ArrayList<>();
    final List<Receipt> receipts = new ArrayList<>();

    @Override
    public void tokenReceived(int _offset, String token) {
        text.append(token);
    }

    @Override
    public void completed(String body, Receipt receipt) {
        text.append(body);
        receipts.add(receipt);
    }

    @Override
    public void failed(Failure failure, Receipt receipt) {
        failures.add(failure.kind());
        receipts.add(receipt);
    }

    int terminalCallCount() {
        return receipts.size();
    }
}
