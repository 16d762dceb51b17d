package org.cowslippick.entry.door;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import org.cowslippick.entry.request.RequestFlow;
import ratpack.handling.Context;

/** Cancels a request whose caller closed its connection. */
final class CallerWatch {

    private CallerWatch() {}

    static void cancelWhenClosed(Context context, RequestFlow flow) {
        Channel channel = context.getDirectChannelAccess().getChannel();
        ChannelFutureListener cancel = _closed -> flow.cancel();
        channel.closeFuture().addListener(cancel);
        context.onClose(_outcome -> channel.closeFuture().removeListener(cancel));
    }
}
