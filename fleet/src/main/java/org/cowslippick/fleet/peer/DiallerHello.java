package org.cowslippick.fleet.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.Consumer;
import org.cowslippick.fleet.wire.ClusterKeys;
import org.cowslippick.fleet.wire.Envelope;
import org.cowslippick.fleet.wire.FrameCodec;
import org.cowslippick.fleet.wire.Hello;
import org.cowslippick.fleet.wire.HelloAnswer;
import org.cowslippick.fleet.wire.HelloProof;

/** The hello as seen by whoever opened the connection. */
final class DiallerHello extends SimpleChannelInboundHandler<Envelope> {

    private final HelloSettings settings;
    private final ClusterKeys keys;
    private final Hello hello;
    private final Consumer<PeerIdentity> authenticated;

    DiallerHello(HelloSettings settings, Consumer<PeerIdentity> authenticated) {
        this.settings = settings;
        this.keys = settings.keys().get();
        this.hello = new Hello(Hello.Versions.CURRENT, settings.self().get(), HelloSettings.nonce(), keys.names());
        this.authenticated = authenticated;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        Channels.send(context, new Envelope(0, hello));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        if (!(envelope.message() instanceof HelloAnswer answer)) {
            throw new HelloFailedException("a hello was answered by another message");
        }
        check(answer);
        String proof = keys.diallerProof(hello, answer)
                .orElseThrow(() -> new HelloFailedException("the chosen cluster key is unknown"));
        Channels.send(context, new Envelope(0, new HelloProof(proof)));
        context.pipeline().remove(this);
        EnvelopeCodec.replace(context.pipeline(), settings.messages(), FrameCodec.MAXIMUM_FRAME_BYTES);
        authenticated.accept(HelloSettings.identity(answer.sender()));
    }

    private void check(HelloAnswer answer) {
        boolean proved = keys.acceptorProof(hello, answer)
                .filter(expected -> ClusterKeys.same(expected, answer.proof()))
                .isPresent();
        if (!proved) {
            throw new HelloFailedException("the peer did not prove that it holds a cluster key");
        }
        if (answer.version() < hello.versions().lowest()
                || answer.version() > hello.versions().highest()) {
            throw new HelloFailedException("protocol version " + answer.version() + " is not spoken here");
        }
    }
}
