package org.cowslippick.entry.request;

import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.Receipt;
import org.cowslippick.entry.metrics.EntryMetrics;
import org.cowslippick.entry.record.OnTimeRecord;
import org.cowslippick.entry.record.RecordKey;
import org.jboss.logging.Logger;

/** Records how requests ended in the metrics, in the organisation's on-time record and in the log. */
public final class RequestOutcomeRecorder {

    private static final Logger LOG = Logger.getLogger("cowslippick.request");

    private final EntryMetrics metrics;
    private final OnTimeRecord record;

    /** Creates a recorder for the metrics and the on-time record. */
    public RequestOutcomeRecorder(EntryMetrics metrics, OnTimeRecord record) {
        this.metrics = metrics;
        this.record = record;
    }

    void recordAnswer(AdmittedRequest request, Receipt receipt) {
        metrics.recordRequest(request.descriptor().service(), receipt, receipt.kept() ? "on-time" : "late");
        record.recordAnswer(key(request), receipt.kept());
    }

    void recordFailure(AdmittedRequest request, Failure failure, Receipt receipt) {
        metrics.recordRequest(
                request.descriptor().service(), receipt, failure.kind().text());
        record.recordFailure(key(request), failure.kind());
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
