package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.Function;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.relay.state.EndpointDirectory;
import org.cowslippick.relay.state.StorePosition;
import org.cowslippick.relay.store.StoreListener;
import org.cowslippick.relay.store.StoreObject;

/** Passes what the store lists of endpoints to the directory, and whether it responds to the tracking of streams. */
public final class EndpointListener implements StoreListener {

    private final Function<StoreObject, Optional<LiveEndpoint>> decoder;
    private final EndpointDirectory directory;
    private final StreamTracking streams;

    /** Creates a listener; the decoder returns nothing for a registration that is malformed. */
    public EndpointListener(
            Function<StoreObject, Optional<LiveEndpoint>> decoder,
            EndpointDirectory directory,
            StreamTracking streams) {
        this.decoder = decoder;
        this.directory = directory;
        this.streams = streams;
    }

    @Override
    public void onSnapshot(ImmutableCollection<StoreObject> objects, StorePosition asOf) {
        ImmutableList<LiveEndpoint> readable = objects.stream()
                .flatMap(object -> decoder.apply(object).stream())
                .collect(ImmutableList.toImmutableList());
        directory.replace(readable, asOf);
    }

    @Override
    public void onStoreLost() {
        directory.storeLost();
        streams.storeLost();
    }

    @Override
    public void onStoreRecovered() {
        directory.storeRecovered();
        streams.storeRecovered();
    }
}
