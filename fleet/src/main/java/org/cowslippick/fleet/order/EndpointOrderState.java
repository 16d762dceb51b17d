package org.cowslippick.fleet.order;

/**
 * What an endpoint says that it carried out.
 *
 * @param fencing the number of the last order that it accepted
 */
public record EndpointOrderState(String model, String adapter, String version, String role, long fencing) {

    /** Whether the order is in effect. */
    public boolean shows(EndpointOrder order) {
        return order.kind().shownBy(this).equals(order.target());
    }
}
