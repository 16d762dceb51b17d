package org.cowslippick.relay.peer;

import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageWriter;

/**
 * Versions of the state that an instance has read from the store, or received from one that has.
 *
 * @param configuration the version in force; negative if there is none
 * @param endpoints the store revision at which the endpoints were read; negative before the first read
 * @param instances the store revision at which the instances were read; negative before the first read
 */
record StateVersions(long configuration, long endpoints, long instances) {

    static void encode(StateVersions versions, MessageWriter writer) {
        writer.writeLong(versions.configuration);
        writer.writeLong(versions.endpoints);
        writer.writeLong(versions.instances);
    }

    static StateVersions decode(MessageReader reader) {
        return new StateVersions(reader.readLong(), reader.readLong(), reader.readLong());
    }
}
