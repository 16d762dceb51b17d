package org.cowslippick.fleet.http;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/** Checks addresses that other writers put into the store. */
public final class Addresses {

    private Addresses() {}

    /**
     * Parses an IP address with a port. A host name would be looked up on the event loop.
     *
     * @throws IllegalArgumentException if the text is anything else
     */
    public static HostAndPort parse(String text) {
        HostAndPort address = HostAndPort.fromString(text);
        if (!address.hasPort() || address.getPort() == 0 || !InetAddresses.isInetAddress(address.getHost())) {
            throw new IllegalArgumentException("\"" + text + "\" is not an IP address with a port");
        }
        return address;
    }
}
