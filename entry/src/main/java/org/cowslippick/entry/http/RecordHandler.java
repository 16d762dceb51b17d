package org.cowslippick.entry.http;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.entry.record.OnTimeRecord;
import org.cowslippick.entry.record.RecordLine;
import org.cowslippick.entry.request.Admission;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Responds with the on-time record of an organisation at this entry; an operator may read that of any organisation. */
final class RecordHandler implements Handler {

    private final Admission admission;
    private final OnTimeRecord record;
    private final InstanceName entry;

    RecordHandler(Admission admission, OnTimeRecord record, InstanceName entry) {
        this.admission = admission;
        this.record = record;
        this.entry = entry;
    }

    /** The counts of one service at one tier. */
    record LineBody(
            String service,
            String tier,
            long requests,
            long onTime,
            long late,
            ImmutableSortedMap<String, Long> failed) {

        static LineBody of(RecordLine line) {
            return new LineBody(
                    line.key().service().value(),
                    line.key().tier().value(),
                    line.requests(),
                    line.onTime(),
                    line.late(),
                    line.failed().entrySet().stream()
                            .collect(ImmutableSortedMap.toImmutableSortedMap(
                                    String::compareTo, failed -> failed.getKey().text(), Map.Entry::getValue)));
        }
    }

    /** The response body: the counts of this entry since an instant. */
    record RecordBody(String organisation, String entry, String since, ImmutableList<LineBody> lines) {}

    @Override
    public void handle(Context context) {
        String requested = context.getPathTokens().get("organisation");
        Optional<String> authorization = Responses.header(context, "Authorization");
        Either<Failure, OrganisationName> caller = admission.authenticate(authorization);
        if (!admission.isOperator(authorization) && caller.isLeft()) {
            Responses.sendError(context, caller.getLeft());
        } else if (!admission.isOperator(authorization) && !caller.get().value().equals(requested)) {
            Responses.sendError(
                    context,
                    Failure.of(
                            ErrorKind.NOT_ENTITLED,
                            "the record of organisation " + requested
                                    + " is readable only by itself and by operators"));
        } else {
            Responses.sendJson(
                    context,
                    200,
                    new RecordBody(
                            requested,
                            entry.value(),
                            record.since().toString(),
                            record.lines(new OrganisationName(requested)).stream()
                                    .map(LineBody::of)
                                    .collect(ImmutableList.toImmutableList())));
        }
    }
}
