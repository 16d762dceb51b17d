package org.cowslippick.fleet.settings;

import java.util.function.Supplier;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.InstanceName;

/** What entries tell each other about settings. */
public interface SettingsGossip {

    /** Tells every live entry which revision this one holds. */
    void announceToAll(long revision);

    /** Tells one live entry, another each time, so that a lost announcement is made up for. */
    void announceToOne(long revision);

    /** Tells the peer. */
    void announceTo(InstanceName peer, long revision);

    /** Reads what a peer holds. */
    SettingsSource source(InstanceName peer);

    /** Answers the reads of peers from the snapshot, and passes on their announcements, until cancelled. */
    Subscription serve(Supplier<SettingsSnapshot> current, AnnouncementListener listener);

    /** Hears announcements. */
    @FunctionalInterface
    interface AnnouncementListener {
        void announced(InstanceName peer, long revision);
    }
}
