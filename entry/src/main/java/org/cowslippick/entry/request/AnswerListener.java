package org.cowslippick.entry.request;

import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.Receipt;

/** Hears the answer to one request; exactly one of the ending calls comes, as the last. */
public interface AnswerListener {

    /** A token arrived; offsets count from 0 without gaps. */
    void token(int offset, String text);

    /** Ends: the answer is whole; {@code body} is that of an application call, and empty for a model call. */
    void finished(String body, Receipt receipt);

    /** Ends: there is no whole answer. */
    void failed(Failure failure, Receipt receipt);
}
