package org.cowslippick.fleet.peer;

import com.google.common.io.BaseEncoding;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.function.Supplier;
import org.cowslippick.fleet.wire.ClusterKeys;
import org.cowslippick.fleet.wire.ConnectionMessages;
import org.cowslippick.fleet.wire.FrameCodec;
import org.cowslippick.fleet.wire.Hello;
import org.cowslippick.fleet.wire.MessageTypes;

/**
 * What one side of a handshake needs.
 *
 * @param keys the current cluster keys, which may change while the process runs
 * @param messageCodec the codec that takes over once the connection is authenticated
 */
record HandshakeSettings(Supplier<Hello.Sender> self, Supplier<ClusterKeys> keys, FrameCodec messageCodec) {

    static final int MAXIMUM_HANDSHAKE_FRAME_BYTES = 4096;
    static final FrameCodec HANDSHAKE_CODEC = new FrameCodec(new MessageTypes(ConnectionMessages.HANDSHAKE));

    private static final int NONCE_BYTES = 32;
    private static final SecureRandom RANDOM = newRandom();

    /** Names the algorithm where it exists, as the default constructor loads all security providers. */
    private static SecureRandom newRandom() {
        try {
            return SecureRandom.getInstance("NativePRNG");
        } catch (NoSuchAlgorithmException _notOnThisSystem) {
            return new SecureRandom();
        }
    }

    static String nonce() {
        byte[] bytes = new byte[NONCE_BYTES];
        RANDOM.nextBytes(bytes);
        return BaseEncoding.base16().encode(bytes);
    }

    static PeerIdentity identity(Hello.Sender sender) {
        return new PeerIdentity(sender.name(), sender.incarnation(), sender.region());
    }
}
