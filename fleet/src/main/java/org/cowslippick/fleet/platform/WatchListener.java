package org.cowslippick.fleet.platform;

/** Receives the changes of a watched kind; calls are never concurrent. */
public interface WatchListener {

    /** An object was created or updated. */
    void changed(StoredObject object);

    /** An object was deleted; {@code version} is that of the deletion. */
    void deleted(ObjectKey key, long version);

    /** The watch ended and delivers no further changes; the listener may start another one. */
    void ended(PlatformFault reason);
}
