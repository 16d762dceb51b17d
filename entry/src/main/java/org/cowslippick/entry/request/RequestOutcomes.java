package org.cowslippick.entry.request;

import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.Receipt;
import org.cowslippick.entry.metrics.EntryMetrics;
import org.cowslippick.entry.record.OnTimeRecord;
import org.cowslippick.entry.record.RecordKey;
import org.jboss.logging.Logger;

/** Counts how requests ended, in the metrics, the organisation's record and the log. */
public final class RequestOutcomes {

    private static final Logger LOG = Logger.getLogger("cowslippick.request");

    private final EntryMetrics metrics;
    private final OnTimeRecord record;

    /** Creates a counter that writes to both. */
    public RequestOutcomes(EntryMetrics metrics, OnTimeRecord record) {
        this.metrics = metrics;
        this.record = record;
    }

    void answered(AdmittedRequest request, Receipt receipt) {
        metrics.ended(request.descriptor().service(), receipt, receipt.kept() ? "on-time" : "late");
        record.answered(key(request), receipt.kept());
    }

    void failed(AdmittedRequest request, Failure failure, Receipt receipt) {
        metrics.ended(request.descriptor().service(), receipt, failure.kind().text());
        record.failed(key(request), failure.kind());
        if (failure.kind() == ErrorKind.INTERNAL) {
            LOG.errorf("failed request=%s detail=%s", request.id(), failure.detail());
        }
    }

    private static RecordKey key(AdmittedRequest request) {
        return new RecordKey(
                request.descriptor().organisation(),
                request.descriptor().service(),
                request.descriptor().tier().name());
    }
}
