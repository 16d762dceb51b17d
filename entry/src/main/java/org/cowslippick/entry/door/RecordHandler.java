package org.cowslippick.entry.door;

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

/** Shows an organisation its own on-time record at this entry; an operator may read any. */
final class RecordHandler implements Handler {

    private final Admission admission;
    private final OnTimeRecord record;
    private final InstanceName entry;

    RecordHandler(Admission admission, OnTimeRecord record, InstanceName entry) {
        this.admission = admission;
        this.record = record;
        this.entry = entry;
    }

    /** One line of the answer. */
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

    /** The answer: the counts of one entry since an instant. */
    record RecordBody(String organisation, String entry, String since, ImmutableList<LineBody> lines) {}

    @Override
    public void handle(Context context) {
        String wanted = context.getPathTokens().get("organisation");
        Optional<String> authorization = Answers.header(context, "Authorization");
        Either<Failure, OrganisationName> own = admission.organisation(authorization);
        if (!admission.operator(authorization) && own.isLeft()) {
            Answers.error(context, own.getLeft());
        } else if (!admission.operator(authorization) && !own.get().value().equals(wanted)) {
            Answers.error(
                    context, Failure.of(ErrorKind.NOT_ENTITLED, "the record of " + wanted + " belongs to another"));
        } else {
            Answers.json(
                    context,
                    200,
                    new RecordBody(
                            wanted,
                            entry.value(),
                            record.since().toString(),
                            record.lines(new OrganisationName(wanted)).stream()
                                    .map(LineBody::of)
                                    .collect(ImmutableList.toImmutableList())));
        }
    }
}
