package org.cowslippick.fleet.platform;

/** Hears the changes of a watched kind, one call at a time. */
public interface WatchListener {

    /** An object was created or updated. */
    void changed(StoredObject object);

    /** An object was deleted; {@code version} is that of the deletion. */
    void deleted(ObjectKey key, long version);

    /** The watch ended and nothing more comes; the listener may start another. */
    void ended(PlatformFault reason);
}
