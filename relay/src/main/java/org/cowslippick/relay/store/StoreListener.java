package org.cowslippick.relay.store;

import com.google.common.collect.ImmutableCollection;
import org.cowslippick.relay.state.StorePosition;

/** Receives the objects of one kind that are watched. */
public interface StoreListener {

    /** Receives all objects of the kind as of the store position. */
    void onSnapshot(ImmutableCollection<StoreObject> objects, StorePosition asOf);

    /** Called once when the store stops responding. */
    default void onStoreLost() {}

    /** Called once when the store responds again after {@link #onStoreLost}. */
    default void onStoreRecovered() {}
}
