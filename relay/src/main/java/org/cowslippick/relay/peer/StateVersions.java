package org.cowslippick.relay.peer;

import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageWriter;
import org.cowslippick.relay.state.StorePosition;

/**
 * Versions of the state that an instance has read from the store, or received from one that has.
 *
 * @param configuration the version in force; negative if there is none
 * @param endpoints the store position at which the endpoints were read
 * @param instances the store position at which the instances were read
 */
record StateVersions(long configuration, StorePosition endpoints, StorePosition instances) {

    static void encode(StateVersions versions, MessageWriter writer) {
        writer.writeLong(versions.configuration);
        encodePosition(versions.endpoints, writer);
        encodePosition(versions.instances, writer);
    }

    static StateVersions decode(MessageReader reader) {
        return new StateVersions(reader.readLong(), decodePosition(reader), decodePosition(reader));
    }

    private static void encodePosition(StorePosition position, MessageWriter writer) {
        writer.writeLong(position.era());
        writer.writeLong(position.revision());
    }

    private static StorePosition decodePosition(MessageReader reader) {
        return new StorePosition(reader.readLong(), reader.readLong());
    }
}
