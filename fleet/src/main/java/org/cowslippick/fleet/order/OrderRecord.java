package org.cowslippick.fleet.order;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * The last order to an endpoint, as stored in the platform; the version of its object is the fencing number.
 *
 * @param token identifies the attempt that wrote the record
 */
record OrderRecord(OrderKind kind, String target, String token, Phase phase) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    enum Phase {
        PENDING,
        CONFIRMED
    }

    static OrderRecord pending(EndpointOrder order, String token) {
        return new OrderRecord(order.kind(), order.target(), token, Phase.PENDING);
    }

    OrderRecord confirmed() {
        return new OrderRecord(kind, target, token, Phase.CONFIRMED);
    }

    EndpointOrder order() {
        return new EndpointOrder(kind, target);
    }

    String write() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException(
                    "order record cannot be serialised as JSON: " + failure.getOriginalMessage(), failure);
        }
    }

    static Optional<OrderRecord> read(String text) {
        try {
            return Optional.of(MAPPER.readValue(text, OrderRecord.class));
        } catch (JsonProcessingException _damaged) {
            return Optional.empty();
        }
    }
}
