package org.cowslippick.fleet.order;

import com.google.errorprone.annotations.Immutable;
import java.util.Locale;
import java.util.function.Function;

/** The kinds of orders that an endpoint can execute. */
public enum OrderKind {
    LOAD_MODEL(EndpointOrderState::model),
    LOAD_ADAPTER(EndpointOrderState::adapter),
    LOAD_VERSION(EndpointOrderState::version),
    CHANGE_ROLE(EndpointOrderState::role);

    private final StateField field;

    OrderKind(StateField field) {
        this.field = field;
    }

    /** Returns the name used in the endpoint's protocol, such as {@code load-model}. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the value in the state that this kind of order changes. */
    String valueIn(EndpointOrderState state) {
        return field.apply(state);
    }

    @Immutable
    private interface StateField extends Function<EndpointOrderState, String> {}
}
