package org.cowslippick.standin.platform;

import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.fleet.platform.InMemoryObjectStore;
import org.cowslippick.fleet.platform.ObjectKey;
import org.cowslippick.fleet.platform.PlatformFault;
import org.cowslippick.fleet.platform.PlatformJson;
import org.cowslippick.fleet.platform.PlatformJson.WatchLine;
import org.cowslippick.fleet.platform.StoredObject;
import org.cowslippick.fleet.platform.WatchListener;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;

/** Publishes a watch as lines of JSON; it ignores demand, so the stream behind it must buffer. */
final class WatchLines implements Publisher<String> {

    private final InMemoryObjectStore memory;
    private final String kind;
    private final long afterVersion;
    private final Heartbeat heartbeat;

    /** Calls the task every few seconds. */
    interface Heartbeat {
        Subscription every(Runnable task);
    }

    WatchLines(InMemoryObjectStore memory, String kind, long afterVersion, Heartbeat heartbeat) {
        this.memory = memory;
        this.kind = kind;
        this.afterVersion = afterVersion;
        this.heartbeat = heartbeat;
    }

    @Override
    public void subscribe(Subscriber<? super String> subscriber) {
        Stream stream = new Stream(subscriber);
        subscriber.onSubscribe(stream);
        stream.start();
    }

    private final class Stream implements org.reactivestreams.Subscription, WatchListener {
        private final Subscriber<? super String> subscriber;
        private Subscription watch = () -> {};
        private Subscription alive = () -> {};
        private boolean stopped;

        Stream(Subscriber<? super String> subscriber) {
            this.subscriber = subscriber;
        }

        synchronized void start() {
            line(WatchLine.ALIVE);
            watch = memory.watch(kind, afterVersion, this);
            alive = heartbeat.every(() -> line(WatchLine.ALIVE));
        }

        @Override
        public void request(long _count) {}

        @Override
        public synchronized void cancel() {
            stopped = true;
            watch.cancel();
            alive.cancel();
        }

        @Override
        public void changed(StoredObject object) {
            line(WatchLine.changed(object));
        }

        @Override
        public void deleted(ObjectKey key, long version) {
            line(WatchLine.deleted(key, version));
        }

        @Override
        public synchronized void ended(PlatformFault _reason) {
            if (!stopped) {
                cancel();
                subscriber.onComplete();
            }
        }

        private synchronized void line(WatchLine line) {
            if (!stopped) {
                subscriber.onNext(PlatformJson.write(line) + "\n");
            }
        }
    }
}
