package org.cowslippick.entry.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.core.timeline.TimelineEvent;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Responds to operators with the timeline events of this entry, filtered by request, endpoint or organisation. */
final class TimelineHandler implements Handler {

    private final Timeline timeline;

    TimelineHandler(Timeline timeline) {
        this.timeline = timeline;
    }

    /** One event in the response body. */
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
            String requested = context.getRequest().getQueryParams().get(parameter);
            return requested == null || requested.equals(value);
        }
    }

    /** The response body. */
    record TimelineBody(ImmutableList<EventBody> events) {}

    @Override
    public void handle(Context context) {
        Responses.sendJson(
                context,
                200,
                new TimelineBody(timeline.events().stream()
                        .map(EventBody::of)
                        .filter(event -> event.matches(context))
                        .collect(ImmutableList.toImmutableList())));
    }
}
