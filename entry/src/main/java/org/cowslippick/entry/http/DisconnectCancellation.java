package org.cowslippick.entry.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import org.cowslippick.entry.request.InFlightRequest;
import ratpack.handling.Context;

/** Cancels a request when its caller closes the connection. */
final class DisconnectCancellation {

    private DisconnectCancellation() {}

    static void cancelOnDisconnect(Context context, InFlightRequest request) {
        Channel channel = context.getDirectChannelAccess().getChannel();
        ChannelFutureListener cancel = _closed -> request.cancel();
        channel.closeFuture().addListener(cancel);
        context.onClose(_outcome -> channel.closeFuture().removeListener(cancel));
    }
}
