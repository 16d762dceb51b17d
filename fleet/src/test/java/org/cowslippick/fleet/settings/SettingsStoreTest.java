package org.cowslippick.fleet.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.settings.SettingKey;
import org.cowslippick.core.settings.SettingsDocument;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.fleet.platform.FakePlatform;
import org.cowslippick.fleet.platform.PlatformFault;
import org.cowslippick.fleet.platform.StoredObject;
import org.junit.jupiter.api.Test;

final class SettingsStoreTest {

    private static final SectionName FIRST = SectionName.organisation(new OrganisationName("first"));
    private static final SectionName SECOND = SectionName.organisation(new OrganisationName("second"));
    private static final SettingsDocument BASE =
            SettingsDocument.EMPTY.with(FIRST, SettingKey.DEADLINE, "10s").with(SECOND, SettingKey.DEADLINE, "20s");

    private final ManualTimerService timer = new ManualTimerService();
    private final FakePlatform platform = new FakePlatform();
    private final SettingsStore store = new SettingsStore(platform, timer);

    @Test
    void aConflictListsWhatTheOtherOperatorChanged() {
        assertEquals(Either.right(1L), commit(0, BASE));
        assertEquals(Either.right(2L), commit(1, BASE.with(FIRST, SettingKey.DEADLINE, "11s")));
        SettingsRejection rejection =
                commit(1, BASE.with(SECOND, SettingKey.DEADLINE, "21s")).getLeft();
        assertEquals(ErrorKind.SETTINGS_CONFLICT, rejection.failure().kind());
        assertEquals(ImmutableList.of("[organisation first] deadline: 10s -> 11s"), rejection.conflicts());
        assertEquals(2, loaded().revision());
    }

    @Test
    void aDocumentWithFaultsIsRejectedWithoutPlatformCalls() {
        SettingsRejection rejection =
                commit(0, BASE.with(FIRST, SettingKey.PARENT, "nobody")).getLeft();
        assertEquals(ErrorKind.SETTINGS_INVALID, rejection.failure().kind());
        assertEquals(1, rejection.faults().size());
        assertEquals(0, platform.callCount());
    }

    @Test
    void aLostResponseIsResolvedByReadingBack() {
        commit(0, BASE);
        platform.holdCalls();
        CompletableFuture<Either<SettingsRejection, Long>> commit =
                store.commit(new SettingsProposal(1, BASE.without(SECOND), "operator"));
        IntStream.range(0, 3).forEach(_call -> platform.releaseNextCall());
        platform.loseResponses(1);
        platform.releaseCalls();
        assertEquals(Either.right(2L), commit.join());
        assertEquals(1, loaded().tree().document().sections().size());
    }

    @Test
    void anUnresolvedLostResponseIsReportedAsUnknownOutcome() {
        platform.holdCalls();
        CompletableFuture<Either<SettingsRejection, Long>> commit =
                store.commit(new SettingsProposal(0, BASE, "operator"));
        IntStream.range(0, 2).forEach(_call -> platform.releaseNextCall());
        platform.loseResponses(1);
        platform.releaseNextCall();
        platform.setUnavailable(true);
        platform.releaseCalls();
        timer.advance(Duration.ofMinutes(1));
        assertEquals(
                ErrorKind.SETTINGS_OUTCOME_UNKNOWN,
                commit.join().getLeft().failure().kind());
        platform.setUnavailable(false);
        assertEquals(1, loaded().revision());
    }

    @Test
    void twentyThreeThousandOrganisationsFitAndASmallChangeWritesOneChunk() {
        SettingsDocument large = SettingsDocument.parse(IntStream.range(0, 23_000)
                        .mapToObj(number -> "[organisation organisation-" + number + "]\ncredential-sha256 = "
                                + SettingsChunks.name("a" + number)
                                + SettingsChunks.name("b" + number).substring(16)
                                + "\ndeadline = 30s\nrequests-per-second = 10\n")
                        .collect(Collectors.joining()))
                .get();
        assertEquals(Either.right(1L), commit(0, large));
        long before = platform.store().list(SettingsObjects.CHUNK_KIND, "").version();
        SectionName one = SectionName.organisation(new OrganisationName("organisation-77"));
        assertEquals(Either.right(2L), commit(1, large.with(one, SettingKey.DEADLINE, "31s")));
        ImmutableList<StoredObject> chunks =
                platform.store().list(SettingsObjects.CHUNK_KIND, "").objects();
        assertEquals(loaded().root().chunks().size() + 1, chunks.size());
        assertTrue(chunks.stream().allMatch(chunk -> chunk.value().length() < 200_000));
        assertEquals(
                before + 2,
                platform.store().list(SettingsObjects.CHUNK_KIND, "").version());
    }

    @Test
    void collectionKeepsChunksThatAConcurrentCommitReuses() {
        commit(0, BASE);
        commit(1, BASE.without(SECOND));
        platform.holdCalls();
        CompletableFuture<Either<SettingsRejection, Long>> commit =
                store.commit(new SettingsProposal(2, BASE, "operator"));
        CompletableFuture<Either<PlatformFault, Integer>> collection = new SettingsChunkCollector(platform).collect();
        platform.releaseCalls();
        assertTrue(commit.join().isRight() || collection.join().isRight());
        commit(loaded().revision(), BASE);
        assertEquals(BASE, loaded().tree().document());
    }

    @Test
    void collectionDeletesChunksThatTheCurrentRevisionDoesNotUse() {
        commit(0, BASE);
        commit(1, BASE.without(SECOND));
        assertEquals(
                Either.right(1), new SettingsChunkCollector(platform).collect().join());
        assertEquals(1, loaded().tree().document().sections().size());
        assertFalse(loaded().root().history().isEmpty());
    }

    /** The reference model is a list of documents that rejects a commit with an outdated base. */
    @Property(seed = "1", tries = 100)
    void agreesWithAListOfDocuments(@ForAll @Size(max = 15) List<@IntRange(max = 11) Integer> steps) {
        FakePlatform shared = new FakePlatform();
        SettingsStore testedStore = new SettingsStore(shared, timer);
        SettingsDocument expected = SettingsDocument.EMPTY;
        long revision = 0;
        for (int step : steps) {
            long base = step % 2 == 0 ? revision : revision - 1;
            SettingsDocument next = step < 6
                    ? expected.with(FIRST, SettingKey.DEADLINE, step + 1 + "s")
                    : expected.with(SECOND, SettingKey.DEADLINE, step + 1 + "s");
            shared.loseResponses(step % 3 == 0 ? 1 : 0);
            Either<SettingsRejection, Long> result = testedStore
                    .commit(new SettingsProposal(base, next, "operator"))
                    .join();
            assertEquals(base == revision, result.isRight());
            if (result.isRight()) {
                expected = next;
                revision++;
                assertEquals(revision, result.get());
            }
            assertEquals(expected, testedStore.load().join().get().tree().document());
        }
    }

    private Either<SettingsRejection, Long> commit(long base, SettingsDocument document) {
        return store.commit(new SettingsProposal(base, document, "operator")).join();
    }

    private SettingsSnapshot loaded() {
        return store.load().join().get();
    }
}
