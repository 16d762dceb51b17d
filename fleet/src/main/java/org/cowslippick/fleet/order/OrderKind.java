package org.cowslippick.fleet.order;

import com.google.errorprone.annotations.Immutable;
import java.util.Locale;
import java.util.function.Function;

/** What an endpoint can be ordered to do. */
public enum OrderKind {
    LOAD_MODEL(EndpointOrderState::model),
    LOAD_ADAPTER(EndpointOrderState::adapter),
    LOAD_VERSION(EndpointOrderState::version),
    CHANGE_ROLE(EndpointOrderState::role);

    private final Shown shown;

    OrderKind(Shown shown) {
        this.shown = shown;
    }

    /** The word used in the endpoint's dialect, such as {@code load-model}. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** What the state shows for this kind of order. */
    String shownBy(EndpointOrderState state) {
        return shown.apply(state);
    }

    /** Reads one field of a state. */
    @Immutable
    private interface Shown extends Function<EndpointOrderState, String> {}
}
