package org.cowslippick.fleet.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import java.util.function.Consumer;
import org.cowslippick.fleet.wire.ClusterKeys;
import org.cowslippick.fleet.wire.Envelope;
import org.cowslippick.fleet.wire.FrameCodec;
import org.cowslippick.fleet.wire.Hello;
import org.cowslippick.fleet.wire.HelloProof;
import org.cowslippick.fleet.wire.HelloResponse;

/** The acceptor's side of the handshake. */
final class AcceptorHandshake extends SimpleChannelInboundHandler<Envelope> {

    private final HandshakeSettings settings;
    private final ClusterKeys keys;
    private final Consumer<PeerIdentity> onAuthenticated;
    private Optional<ExpectedProof> expectedProof = Optional.empty();

    AcceptorHandshake(HandshakeSettings settings, Consumer<PeerIdentity> onAuthenticated) {
        this.settings = settings;
        this.keys = settings.keys().get();
        this.onAuthenticated = onAuthenticated;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        if (envelope.message() instanceof Hello hello && expectedProof.isEmpty()) {
            respond(context, hello);
        } else if (envelope.message() instanceof HelloProof proof && expectedProof.isPresent()) {
            finish(context, proof, expectedProof.get());
        } else {
            throw new HandshakeException("handshake message out of order");
        }
    }

    private void respond(ChannelHandlerContext context, Hello hello) {
        if (!hello.versions().overlaps(Hello.Versions.CURRENT)) {
            throw new HandshakeException("no protocol version in common with the peer");
        }
        String key = keys.choose(hello.keys())
                .orElseThrow(() -> new HandshakeException("no cluster key in common with the peer"));
        int version = hello.versions().highestCommon(Hello.Versions.CURRENT);
        HelloResponse unsigned = new HelloResponse(version, settings.self().get(), HandshakeSettings.nonce(), key, "");
        String proof = keys.acceptorProof(hello, unsigned).orElseThrow();
        expectedProof = Optional.of(new ExpectedProof(
                hello.sender(), keys.diallerProof(hello, unsigned).orElseThrow()));
        Channels.send(
                context, new Envelope(0, new HelloResponse(version, unsigned.sender(), unsigned.nonce(), key, proof)));
    }

    private void finish(ChannelHandlerContext context, HelloProof proof, ExpectedProof expected) {
        if (!ClusterKeys.equalsConstantTime(expected.proof(), proof.proof())) {
            throw new HandshakeException("peer failed to prove possession of a cluster key");
        }
        onAuthenticated.accept(HandshakeSettings.identity(expected.sender()));
        context.pipeline().remove(this);
        // Must come last: replacing the codec immediately decodes messages that arrived together with the proof.
        EnvelopeCodec.replace(context.pipeline(), settings.messageCodec(), FrameCodec.MAXIMUM_FRAME_BYTES);
    }

    private record ExpectedProof(Hello.Sender sender, String proof) {}
}
