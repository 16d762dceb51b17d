package org.cowslippick.fleet.peer;

import com.google.common.io.BaseEncoding;
import java.security.SecureRandom;
import java.util.function.Supplier;
import org.cowslippick.fleet.wire.ClusterKeys;
import org.cowslippick.fleet.wire.ConnectionMessages;
import org.cowslippick.fleet.wire.FrameCodec;
import org.cowslippick.fleet.wire.Hello;
import org.cowslippick.fleet.wire.MessageTypes;

/**
 * What a process says of itself in a hello.
 *
 * @param keys the cluster keys of the moment, which may change while the process runs
 */
record HelloSettings(Supplier<Hello.Sender> self, Supplier<ClusterKeys> keys, FrameCodec messages) {

    static final int MAXIMUM_HELLO_BYTES = 4096;
    static final FrameCodec HELLO_CODEC = new FrameCodec(new MessageTypes(ConnectionMessages.HELLO));

    private static final int NONCE_BYTES = 32;
    private static final SecureRandom RANDOM = new SecureRandom();

    static String nonce() {
        byte[] bytes = new byte[NONCE_BYTES];
        RANDOM.nextBytes(bytes);
        return BaseEncoding.base16().encode(bytes);
    }

    static PeerIdentity identity(Hello.Sender sender) {
        return new PeerIdentity(sender.name(), sender.incarnation(), sender.region());
    }
}
