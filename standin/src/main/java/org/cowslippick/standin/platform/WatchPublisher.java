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

/** Publishes a watch as lines of JSON. It ignores demand, so the stream behind it must buffer. */
final class WatchPublisher implements Publisher<String> {

    private final InMemoryObjectStore store;
    private final String kind;
    private final long afterVersion;
    private final HeartbeatScheduler heartbeatScheduler;

    /** Schedules the task that sends the heartbeats of a watch. */
    interface HeartbeatScheduler {
        Subscription schedule(Runnable task);
    }

    WatchPublisher(InMemoryObjectStore store, String kind, long afterVersion, HeartbeatScheduler heartbeatScheduler) {
        this.store = store;
        this.kind = kind;
        this.afterVersion = afterVersion;
        this.heartbeatScheduler = heartbeatScheduler;
    }

    @Override
    public void subscribe(Subscriber<? super String> subscriber) {
        WatchSubscription subscription = new WatchSubscription(subscriber);
        subscriber.onSubscribe(subscription);
        subscription.start();
    }

    private final class WatchSubscription implements org.reactivestreams.Subscription, WatchListener {
        private final Subscriber<? super String> subscriber;
        private Subscription watch = () -> {};
        private Subscription heartbeats = () -> {};
        private boolean isStopped;

        WatchSubscription(Subscriber<? super String> subscriber) {
            this.subscriber = subscriber;
        }

        synchronized void start() {
            publish(WatchLine.ALIVE);
            watch = store.watch(kind, afterVersion, this);
            heartbeats = heartbeatScheduler.schedule(() -> publish(WatchLine.ALIVE));
        }

        @Override
        public void request(long _count) {}

        @Override
        public synchronized void cancel() {
            isStopped = true;
            watch.cancel();
            heartbeats.cancel();
        }

        @Override
        public void changed(StoredObject object) {
            publish(WatchLine.changed(object));
        }

        @Override
        public void deleted(ObjectKey key, long version) {
            publish(WatchLine.deleted(key, version));
        }

        @Override
        public synchronized void ended(PlatformFault _reason) {
            if (!isStopped) {
                cancel();
                subscriber.onComplete();
            }
        }

        private synchronized void publish(WatchLine line) {
            if (!isStopped) {
                subscriber.onNext(PlatformJson.write(line) + "\n");
            }
        }
    }
}
