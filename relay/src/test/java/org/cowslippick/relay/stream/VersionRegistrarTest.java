package org.cowslippick.relay.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.stream.ServiceVersions;
import org.junit.jupiter.api.Test;

class VersionRegistrarTest {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final ServiceName NOT_STREAMED = new ServiceName("embedding");
    private static final Duration DELAY_BEFORE_LOAD = Duration.ofMillis(20);

    private final ManualTimerService timer = new ManualTimerService();
    private final FakeVersionStore store = new FakeVersionStore();
    private final ServiceVersions versions =
            new ServiceVersions(() -> Duration.ofSeconds(30).toNanos());
    private final List<String> passedOn = new ArrayList<>();
    private final VersionRegistrar registrar =
            new VersionRegistrar(timer, store, versions, SERVICE::equals, this::setPassedOn);

    @Test
    void holdsAVersionBackUntilItsRegistrationIsWritten() {
        registrar.start();
        store.isSilent = true;
        setVersions("v1");
        timer.advance(DELAY_BEFORE_LOAD);
        assertEquals(List.of(), passedOn);
        store.answer();
        assertEquals(List.of("v1"), passedOn);
        assertEquals(Set.of("v1"), store.versions());
        assertEquals(Optional.of("v1"), versions.only(SERVICE, timer.nanoTime()));
        assertEquals(List.of("load", "write"), store.calls);
    }

    @Test
    void writesNothingIfAnotherInstanceHasJustRegisteredTheVersion() {
        timer.advance(Duration.ofSeconds(100));
        store.put(ImmutableMap.of("v1", 95_000L));
        start("v1");
        assertEquals(List.of("v1"), passedOn);
        assertEquals(List.of("load"), store.calls);
    }

    @Test
    void confirmsAVersionThatReturnsAnew() {
        start("v1");
        timer.advance(Duration.ofSeconds(15));
        setVersions();
        setVersions("v1");
        assertEquals(List.of(), passedOn);
        timer.advance(DELAY_BEFORE_LOAD);
        assertEquals(List.of("v1"), passedOn);
        assertTrue(store.entry.orElseThrow().lastPresent().get("v1") >= 15_000);
    }

    /** The write in flight names the version with its former confirmation, which soon counts as outdated. */
    @Test
    void confirmsAVersionThatReturnsDuringAWriteAnew() {
        start("v1");
        timer.advance(Duration.ofSeconds(15));
        store.beforeWrite = () -> setVersions("v1", "v2");
        setVersions("v2");
        timer.advance(DELAY_BEFORE_LOAD.multipliedBy(2));
        assertEquals(List.of("v1", "v2"), passedOn);
        assertTrue(store.entry.orElseThrow().lastPresent().get("v1") >= 15_000);
    }

    @Test
    void passesAVersionOnAfterTheBoundIfTheStoreIsSilentAndGoesOnTrying() {
        store.isSilent = true;
        start("v1");
        timer.advance(Duration.ofMillis(979));
        assertEquals(List.of(), passedOn);
        timer.advance(Duration.ofMillis(1));
        assertEquals(List.of("v1"), passedOn);
        assertEquals(Optional.empty(), versions.only(SERVICE, timer.nanoTime()));
        store.fail();
        store.isSilent = false;
        timer.advance(Duration.ofSeconds(1));
        assertEquals(Set.of("v1"), store.versions());
    }

    @Test
    void mergesTheEntryThatAnotherInstanceWroteInTheMeantime() {
        store.beforeWrite = () -> store.put(ImmutableMap.of("v2", 0L));
        start("v1");
        assertEquals(List.of("v1"), passedOn);
        assertEquals(Set.of("v1", "v2"), store.versions());
        assertTrue(versions.isMixed(SERVICE, timer.nanoTime()));
    }

    /** An unanswered write may have been applied; the next list tells. */
    @Test
    void findsAWriteWithoutAnswerInTheNextList() {
        store.losesNextAnswer = true;
        start("v1");
        assertEquals(List.of(), passedOn);
        timer.advance(Duration.ofMillis(800));
        assertEquals(List.of("v1"), passedOn);
        assertEquals(List.of("load", "write", "load"), store.calls);
    }

    @Test
    void holdsNothingBackWhileTheStoreIsLostAndRegistersItAfterwards() {
        start();
        registrar.storeLost();
        setVersions("v1");
        assertEquals(List.of("v1"), passedOn);
        timer.advance(Duration.ofSeconds(5));
        assertEquals(List.of("load"), store.calls);
        registrar.storeRecovered();
        timer.advance(DELAY_BEFORE_LOAD);
        assertEquals(List.of("v1"), passedOn);
        assertEquals(Set.of("v1"), store.versions());
    }

    /** The copy lacks both versions, and callers still resume streams of the one that has left. */
    @Test
    void registersPresentAndPossibleVersionsAgainInANewEra() {
        start("v1");
        setVersions("v2");
        timer.advance(DELAY_BEFORE_LOAD);
        store.entry = Optional.empty();
        registrar.storeRestarted();
        assertEquals(List.of("v2"), passedOn);
        timer.advance(DELAY_BEFORE_LOAD);
        assertEquals(Set.of("v1", "v2"), store.versions());
    }

    @Test
    void ignoresAConfirmationOfTheFormerEra() {
        store.isSilent = true;
        start("v1");
        registrar.storeRestarted();
        store.put(ImmutableMap.of("v1", 0L));
        store.answer();
        assertEquals(List.of(), passedOn);
        timer.advance(DELAY_BEFORE_LOAD);
        assertEquals(List.of("v1"), passedOn);
    }

    @Test
    void neverHoldsBackServicesThatAreNotStreamed() {
        registrar.setEndpoints(ImmutableList.of(endpoint(NOT_STREAMED, "v1")));
        assertEquals(List.of("v1"), passedOn);
        timer.advance(Duration.ofSeconds(100));
        assertEquals(Set.of(), store.versions());
    }

    @Test
    void removesAVersionOnlyLongAfterItHasLeft() {
        start("v1", "v2");
        timer.advance(Duration.ofSeconds(500));
        setVersions("v2");
        store.calls.clear();
        timer.advance(Duration.ofSeconds(59));
        assertEquals(Set.of("v1", "v2"), store.versions());
        assertEquals(List.of(), store.calls);
        timer.advance(Duration.ofSeconds(32));
        assertEquals(Set.of("v2"), store.versions());
        timer.advance(Duration.ofSeconds(500));
        assertEquals(List.of("load", "write"), store.calls);
    }

    /** An instance that has just started does not know when the version left. */
    @Test
    void removesNothingSoonAfterTheStart() {
        store.put(ImmutableMap.of("v1", 0L, "v2", 999_000L));
        timer.advance(Duration.ofSeconds(1_000));
        start("v2");
        timer.advance(Duration.ofSeconds(59));
        assertEquals(Set.of("v1", "v2"), store.versions());
    }

    @Test
    void removesNoVersionThatAnotherInstanceConfirmsMeanwhile() {
        store.put(ImmutableMap.of("v1", 0L, "v2", 0L));
        start("v2");
        store.beforeWrite = () -> store.put(ImmutableMap.of("v1", timer.now().toEpochMilli(), "v2", 0L));
        timer.advance(Duration.ofSeconds(92));
        assertTrue(store.calls.contains("write"));
        assertEquals(Set.of("v1", "v2"), store.versions());
    }

    private void start(String... softwareVersions) {
        registrar.start();
        setVersions(softwareVersions);
        timer.advance(DELAY_BEFORE_LOAD);
    }

    private void setVersions(String... softwareVersions) {
        registrar.setEndpoints(Stream.of(softwareVersions)
                .map(version -> endpoint(SERVICE, version))
                .collect(ImmutableList.toImmutableList()));
    }

    private void setPassedOn(ImmutableList<LiveEndpoint> endpoints) {
        passedOn.clear();
        endpoints.forEach(endpoint -> passedOn.add(endpoint.softwareVersion()));
    }

    private static LiveEndpoint endpoint(ServiceName service, String softwareVersion) {
        return new LiveEndpoint(
                service + "-" + softwareVersion,
                service,
                HostAndPort.fromParts("127.0.0.1", 80),
                new FailureDomain("oviedo", new Region("asturias")),
                1,
                false,
                1,
                0,
                softwareVersion);
    }

    /** Holds one entry. While it is silent, its answers wait until they are released or the calls fail. */
    private static final class FakeVersionStore implements VersionStore {
        private final List<String> calls = new ArrayList<>();
        private final List<Runnable> waiting = new ArrayList<>();
        private final List<CompletableFuture<Optional<ImmutableList<RegisteredVersions>>>> waitingLoads =
                new ArrayList<>();
        private Optional<RegisteredVersions> entry = Optional.empty();
        private Runnable beforeWrite = () -> {};
        private boolean isSilent;
        private boolean losesNextAnswer;
        private long revision;

        @Override
        public CompletableFuture<Optional<ImmutableList<RegisteredVersions>>> load() {
            calls.add("load");
            CompletableFuture<Optional<ImmutableList<RegisteredVersions>>> result = new CompletableFuture<>();
            waitingLoads.add(result);
            waiting.add(() -> result.complete(Optional.of(entry.stream().collect(ImmutableList.toImmutableList()))));
            return answerUnlessSilent(result);
        }

        @Override
        public CompletableFuture<Result> write(RegisteredVersions written) {
            calls.add("write");
            beforeWrite.run();
            beforeWrite = () -> {};
            CompletableFuture<Result> result = new CompletableFuture<>();
            waiting.add(() -> result.complete(apply(written)));
            return answerUnlessSilent(result);
        }

        private Result apply(RegisteredVersions written) {
            if (written.revision() != entry.map(RegisteredVersions::revision).orElse(0L)) {
                return new Result(false, entry);
            }
            put(written.lastPresent());
            boolean isAnswered = !losesNextAnswer;
            losesNextAnswer = false;
            return new Result(isAnswered, Optional.empty());
        }

        private void put(ImmutableMap<String, Long> lastPresent) {
            revision++;
            entry = Optional.of(new RegisteredVersions(SERVICE, revision, lastPresent));
        }

        private Set<String> versions() {
            return entry.stream()
                    .flatMap(present -> present.lastPresent().keySet().stream())
                    .collect(ImmutableSet.toImmutableSet());
        }

        private <T> CompletableFuture<T> answerUnlessSilent(CompletableFuture<T> result) {
            if (!isSilent) {
                answer();
            }
            return result;
        }

        private void answer() {
            isSilent = false;
            List<Runnable> answers = List.copyOf(waiting);
            waiting.clear();
            answers.forEach(Runnable::run);
        }

        private void fail() {
            waiting.clear();
            waitingLoads.forEach(load -> load.complete(Optional.empty()));
        }
    }
}
