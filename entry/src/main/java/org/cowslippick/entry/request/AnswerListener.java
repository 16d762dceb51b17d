package org.cowslippick.entry.request;

import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.Receipt;

/** Receives the answer to one request. Exactly one of the terminal methods is called, and it is the last call. */
public interface AnswerListener {

    /** A token arrived; offsets count from 0 without gaps. */
    void tokenReceived(int offset, String text);

    /** Terminal: the answer is complete; {@code body} is that of an application call, and empty for a model call. */
    void completed(String body, Receipt receipt);

    /** Terminal: the request ended without a complete answer. */
    void failed(Failure failure, Receipt receipt);
}
