package org.cowslippick.fleet.order;

/**
 * The state reported by an endpoint that takes orders.
 *
 * @param fencing the fencing number of the last order that it accepted
 */
public record EndpointOrderState(String model, String adapter, String version, String role, long fencing) {

    /** Whether the order is in effect. */
    public boolean reflects(EndpointOrder order) {
        return order.kind().valueIn(this).equals(order.target());
    }
}
