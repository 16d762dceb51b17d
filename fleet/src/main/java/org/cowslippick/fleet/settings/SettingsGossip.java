package org.cowslippick.fleet.settings;

import java.util.function.Supplier;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.InstanceName;

/** Announces revisions of the settings to other entries and transfers settings between entries. */
public interface SettingsGossip {

    /** Announces the revision that this entry holds to every live entry. */
    void announceToAll(long revision);

    /** Announces the revision to one live entry chosen at random, as anti-entropy against lost announcements. */
    void announceToRandomPeer(long revision);

    void announceTo(InstanceName peer, long revision);

    /** Returns a source that reads the settings held by the peer. */
    SettingsSource source(InstanceName peer);

    /** Answers reads of peers from the snapshot, and passes their announcements to the listener, until cancelled. */
    Subscription serve(Supplier<SettingsSnapshot> current, AnnouncementListener listener);

    /** Receives the announcements of peers. */
    @FunctionalInterface
    interface AnnouncementListener {
        void announced(InstanceName peer, long revision);
    }
}
