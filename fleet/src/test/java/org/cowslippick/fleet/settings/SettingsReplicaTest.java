package org.cowslippick.fleet.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.settings.SettingKey;
import org.cowslippick.core.settings.SettingsDocument;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.junit.jupiter.api.Test;

final class SettingsReplicaTest {

    private static final Duration PROPAGATION_TIME = Duration.ofSeconds(5);
    private static final ImmutableList<InstanceName> ENTRIES = IntStream.range(0, 8)
            .mapToObj(number -> new InstanceName("entry-" + number))
            .collect(ImmutableList.toImmutableList());

    private final SettingsCluster cluster = startedCluster();

    @Test
    void aCommitReachesEveryEntryAlthoughAnnouncementsAreLost() {
        commit(cluster, 0, "10s");
        cluster.advance(PROPAGATION_TIME);
        ENTRIES.forEach(entry -> assertEquals(document("10s"), cluster.document(entry)));
    }

    @Test
    void aNewEntryTakesTheHighestRevisionOfItsPeersDuringAPlatformOutage() {
        commit(cluster, 0, "10s");
        commit(cluster, 1, "11s");
        cluster.advance(PROPAGATION_TIME);
        cluster.platform().setUnavailable(true);
        cluster.kill(ENTRIES.get(3));
        cluster.start(ENTRIES.get(3), false);
        cluster.advance(PROPAGATION_TIME);
        assertEquals(2, cluster.revision(ENTRIES.get(3)));
        assertEquals(document("11s"), cluster.document(ENTRIES.get(3)));
    }

    @Test
    void aWatchWhoseHistoryWasDiscardedIsRestarted() {
        commit(cluster, 0, "10s");
        cluster.platform().endWatchesAndDiscardHistory();
        commit(cluster, 1, "11s");
        cluster.advance(PROPAGATION_TIME);
        ENTRIES.forEach(entry -> assertEquals(2, cluster.revision(entry)));
    }

    @Test
    void entriesThatDoNotWatchMakeNoPlatformCalls() {
        cluster.advance(Duration.ofSeconds(10));
        int before = cluster.platform().callCount();
        cluster.advance(Duration.ofMinutes(10));
        assertEquals(before, cluster.platform().callCount());
    }

    @Test
    void aSilentPeerDoesNotDelayTheOthers() {
        ENTRIES.stream().skip(2).forEach(entry -> cluster.peers().silence(ENTRIES.get(1), entry));
        commit(cluster, 0, "10s");
        cluster.advance(Duration.ofSeconds(10));
        ENTRIES.forEach(entry -> assertEquals(1, cluster.revision(entry)));
    }

    @Property(seed = "1", tries = 50)
    void noEntryEverTakesALowerRevision(@ForAll @Size(max = 25) List<@IntRange(max = 7) Integer> steps) {
        SettingsCluster faultyCluster = startedCluster();
        List<Long> seen = new ArrayList<>();
        faultyCluster.replica(ENTRIES.get(2)).subscribe(snapshot -> seen.add(snapshot.revision()));
        long revision = 0;
        for (int step : steps) {
            InstanceName entry = ENTRIES.get(3 + step % 5);
            switch (step) {
                case 0, 1, 2 -> {
                    faultyCluster.platform().setUnavailable(false);
                    commit(faultyCluster, revision, 10 + step + "s");
                    revision++;
                }
                case 3 -> faultyCluster.platform().setUnavailable(true);
                case 4 -> faultyCluster.platform().endWatchesAndDiscardHistory();
                case 5 -> faultyCluster.peers().partition(ENTRIES.get(1), ENTRIES.get(2));
                default -> {
                    faultyCluster.kill(entry);
                    faultyCluster.start(entry, false);
                }
            }
            faultyCluster.advance(Duration.ofMillis(700));
        }
        assertEquals(seen.stream().sorted().distinct().toList(), seen);
        faultyCluster.platform().setUnavailable(false);
        faultyCluster.advance(Duration.ofSeconds(15));
        long last = revision;
        ENTRIES.forEach(entry -> assertTrue(faultyCluster.revision(entry) == last));
    }

    private static SettingsCluster startedCluster() {
        SettingsCluster started = new SettingsCluster();
        ENTRIES.forEach(entry -> started.start(entry, entry.equals(ENTRIES.get(0))));
        return started;
    }

    private static void commit(SettingsCluster target, long base, String deadline) {
        assertEquals(
                base + 1,
                target.store()
                        .commit(new SettingsProposal(base, document(deadline), "operator"))
                        .join()
                        .get());
    }

    private static SettingsDocument document(String deadline) {
        return SettingsDocument.EMPTY.with(
                SectionName.organisation(new OrganisationName("portalia")), SettingKey.DEADLINE, deadline);
    }
}
