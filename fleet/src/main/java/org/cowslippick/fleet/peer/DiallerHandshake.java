package org.cowslippick.fleet.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.Consumer;
import org.cowslippick.fleet.wire.ClusterKeys;
import org.cowslippick.fleet.wire.Envelope;
import org.cowslippick.fleet.wire.FrameCodec;
import org.cowslippick.fleet.wire.Hello;
import org.cowslippick.fleet.wire.HelloProof;
import org.cowslippick.fleet.wire.HelloResponse;

/** The dialler's side of the handshake. */
final class DiallerHandshake extends SimpleChannelInboundHandler<Envelope> {

    private final HandshakeSettings settings;
    private final ClusterKeys keys;
    private final Hello hello;
    private final Consumer<PeerIdentity> onAuthenticated;

    DiallerHandshake(HandshakeSettings settings, Consumer<PeerIdentity> onAuthenticated) {
        this.settings = settings;
        this.keys = settings.keys().get();
        this.hello = new Hello(Hello.Versions.CURRENT, settings.self().get(), HandshakeSettings.nonce(), keys.names());
        this.onAuthenticated = onAuthenticated;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        Channels.send(context, new Envelope(0, hello));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        if (!(envelope.message() instanceof HelloResponse response)) {
            throw new HandshakeException("expected a hello response, got another message");
        }
        verify(response);
        String proof = keys.diallerProof(hello, response)
                .orElseThrow(() -> new HandshakeException("peer chose an unknown cluster key"));
        Channels.send(context, new Envelope(0, new HelloProof(proof)));
        context.pipeline().remove(this);
        EnvelopeCodec.replace(context.pipeline(), settings.messageCodec(), FrameCodec.MAXIMUM_FRAME_BYTES);
        onAuthenticated.accept(HandshakeSettings.identity(response.sender()));
    }

    private void verify(HelloResponse response) {
        boolean isProofValid = keys.acceptorProof(hello, response)
                .filter(expected -> ClusterKeys.equalsConstantTime(expected, response.proof()))
                .isPresent();
        if (!isProofValid) {
            throw new HandshakeException("peer failed to prove possession of a cluster key");
        }
        if (response.version() < hello.versions().lowest()
                || response.version() > hello.versions().highest()) {
            throw new HandshakeException("peer chose unsupported protocol version " + response.version());
        }
    }
}
