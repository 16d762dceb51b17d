package org.cowslippick.fleet.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import java.util.function.Consumer;
import org.cowslippick.fleet.wire.ClusterKeys;
import org.cowslippick.fleet.wire.Envelope;
import org.cowslippick.fleet.wire.FrameCodec;
import org.cowslippick.fleet.wire.Hello;
import org.cowslippick.fleet.wire.HelloAnswer;
import org.cowslippick.fleet.wire.HelloProof;

/** The hello as seen by whoever accepted the connection. */
final class AcceptorHello extends SimpleChannelInboundHandler<Envelope> {

    private final HelloSettings settings;
    private final ClusterKeys keys;
    private final Consumer<PeerIdentity> authenticated;
    private Optional<Expected> expected = Optional.empty();

    AcceptorHello(HelloSettings settings, Consumer<PeerIdentity> authenticated) {
        this.settings = settings;
        this.keys = settings.keys().get();
        this.authenticated = authenticated;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        if (envelope.message() instanceof Hello hello && expected.isEmpty()) {
            answer(context, hello);
        } else if (envelope.message() instanceof HelloProof proof && expected.isPresent()) {
            finish(context, proof, expected.get());
        } else {
            throw new HelloFailedException("a message of the hello came out of order");
        }
    }

    private void answer(ChannelHandlerContext context, Hello hello) {
        if (!hello.versions().overlap(Hello.Versions.CURRENT)) {
            throw new HelloFailedException("no protocol version is spoken by both ends");
        }
        String key = keys.choose(hello.keys())
                .orElseThrow(() -> new HelloFailedException("no cluster key is held by both ends"));
        int version = hello.versions().common(Hello.Versions.CURRENT);
        HelloAnswer unproved = new HelloAnswer(version, settings.self().get(), HelloSettings.nonce(), key, "");
        String proof = keys.acceptorProof(hello, unproved).orElseThrow();
        expected = Optional.of(
                new Expected(hello.sender(), keys.diallerProof(hello, unproved).orElseThrow()));
        Channels.send(
                context, new Envelope(0, new HelloAnswer(version, unproved.sender(), unproved.nonce(), key, proof)));
    }

    private void finish(ChannelHandlerContext context, HelloProof proof, Expected known) {
        if (!ClusterKeys.same(known.proof(), proof.proof())) {
            throw new HelloFailedException("the peer did not prove that it holds a cluster key");
        }
        authenticated.accept(HelloSettings.identity(known.sender()));
        context.pipeline().remove(this);
        // Last, because messages that arrived with the proof pass through the new codec at once.
        EnvelopeCodec.replace(context.pipeline(), settings.messages(), FrameCodec.MAXIMUM_FRAME_BYTES);
    }

    private record Expected(Hello.Sender sender, String proof) {}
}
