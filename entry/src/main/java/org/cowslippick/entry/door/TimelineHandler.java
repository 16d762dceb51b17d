package org.cowslippick.entry.door;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.core.timeline.TimelineEvent;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Shows this entry's part of the time line to operators. */
final class TimelineHandler implements Handler {

    private final Timeline timeline;

    TimelineHandler(Timeline timeline) {
        this.timeline = timeline;
    }

    /** One event as operators read it. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record EventBody(
            String instance,
            long logicalTime,
            String time,
            String kind,
            String request,
            String endpoint,
            String organisation,
            String detail) {

        static EventBody of(TimelineEvent event) {
            return new EventBody(
                    event.instance().value(),
                    event.logicalTime(),
                    event.time().toString(),
                    event.kind().text(),
                    text(event.request()),
                    text(event.endpoint()),
                    text(event.organisation()),
                    event.detail());
        }

        private static String text(Optional<?> value) {
            return value.map(Object::toString).orElse(null);
        }

        boolean matches(Context context) {
            return matches(context, "request", request)
                    && matches(context, "endpoint", endpoint)
                    && matches(context, "organisation", organisation);
        }

        private static boolean matches(Context context, String parameter, String value) {
            String wanted = context.getRequest().getQueryParams().get(parameter);
            return wanted == null || wanted.equals(value);
        }
    }

    /** The answer. */
    record TimelineBody(ImmutableList<EventBody> events) {}

    @Override
    public void handle(Context context) {
        Answers.json(
                context,
                200,
                new TimelineBody(timeline.events().stream()
                        .map(EventBody::of)
                        .filter(event -> event.matches(context))
                        .collect(ImmutableList.toImmutableList())));
    }
}
