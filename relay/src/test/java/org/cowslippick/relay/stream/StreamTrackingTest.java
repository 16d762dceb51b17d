package org.cowslippick.relay.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.routing.RoutingTable;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.stream.StreamOrigin;
import org.junit.jupiter.api.Test;

/** What an instance knows of the versions of streams, before and after it is restarted. */
class StreamTrackingTest {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final long STREAM = 7;

    private final ManualTimerService timer = new ManualTimerService();
    private final MemoryVersions versionStore = new MemoryVersions();
    private final MemoryOrigins originStore = new MemoryOrigins();
    private final List<String> usable = new ArrayList<>();
    private StreamTracking streams = newProcess();

    private StreamTracking newProcess() {
        return newProcess("front-1");
    }

    private StreamTracking newProcess(String name) {
        StreamTracking started = new StreamTracking(
                timer,
                new InstanceName(name),
                () -> RoutingTable.NONE,
                versionStore,
                originStore,
                endpoints -> {
                    usable.clear();
                    endpoints.forEach(endpoint -> usable.add(endpoint.softwareVersion()));
                },
                _event -> {});
        started.start();
        return started;
    }

    private static ImmutableList<LiveEndpoint> endpoints(String... versions) {
        return Stream.of(versions).map(StreamTrackingTest::endpoint).collect(ImmutableList.toImmutableList());
    }

    private void list(String... versions) {
        streams.setEndpoints(endpoints(versions));
        timer.advance(Duration.ofMillis(500));
    }

    private static LiveEndpoint endpoint(String version) {
        return new LiveEndpoint(
                "engine-" + version,
                SERVICE,
                HostAndPort.fromParts("10.0.0.1", 80),
                new FailureDomain("oviedo", new Region("asturias")),
                2,
                false,
                1,
                1,
                version);
    }

    private Optional<String> find(long stream) {
        List<Optional<String>> found = new ArrayList<>();
        streams.find(SERVICE, stream, found::add);
        timer.advance(Duration.ofSeconds(1));
        assertEquals(1, found.size());
        return found.get(0);
    }

    @Test
    void onlyVersionHasBegunAllStreams() {
        list("v1");
        assertEquals(Optional.of("v1"), find(STREAM));
    }

    /** Guards against an instance that is cut off while another version begins to serve, however new its list is. */
    @Test
    void onlyVersionIsNotTrustedWhileTheRegistryCannotBeRead() {
        list("v1");
        versionStore.isReadable = false;
        assertEquals(Optional.empty(), find(STREAM));
        timer.advance(Duration.ofSeconds(10));
        assertEquals(Optional.empty(), find(STREAM));
    }

    /** Guards against refusals by an instance that others read the store for. */
    @Test
    void onlyVersionOfAnOldListIsTrustedIfTheRegistryConfirmsIt() {
        list("v1");
        timer.advance(Duration.ofSeconds(10));
        assertEquals(Optional.of("v1"), find(STREAM));
    }

    /** Guards against a deduction from a list that was the store's before a version joined that has begun the stream. */
    @Test
    void streamOfAVersionThatAnInstanceOutOfStepHasNotSeenIsFound() {
        list("v1");
        beginAtAnotherInstance(STREAM, "v2");
        timer.advance(Duration.ofSeconds(1));
        assertEquals(Optional.of("v2"), find(STREAM));
    }

    /** The other instance may not have written the origin yet. */
    @Test
    void streamOfAVersionThatAnInstanceOutOfStepHasNotSeenIsUnknownAtFirst() {
        list("v1");
        originStore.isAvailable = false;
        beginAtAnotherInstance(STREAM, "v2");
        assertEquals(Optional.empty(), find(STREAM));
    }

    /** A process that stood still reads responses that the store sent before. */
    @Test
    void responseOfTheStoreThatIsReadLateDoesNotMakeAnInstanceUpToDate() {
        list("v1");
        beginAtAnotherInstance(STREAM, "v2");
        timer.advance(Duration.ofSeconds(10));
        list("v1");
        assertEquals(Optional.of("v2"), find(STREAM));
    }

    @Test
    void instanceThatIsCutOffFromAllKnowsNothingOfStreamsOfOthers() {
        list("v1");
        beginAtAnotherInstance(STREAM, "v2");
        versionStore.isReadable = false;
        originStore.isAvailable = false;
        assertEquals(Optional.empty(), find(STREAM));
    }

    /** Guards against an entry that names a version which had left, and which is not written again when it returns. */
    @Test
    void versionThatReturnsWhileTheStoreStillNamesItMayHaveBegunStreams() {
        list("v1", "v2");
        list("v1");
        timer.advance(Duration.ofSeconds(30));
        beginAtAnotherInstance(STREAM, "v2");
        assertEquals(Optional.empty(), find(STREAM + 1));
    }

    /** What the registry says counts each time, not only when it changes. */
    @Test
    void versionThatTheRegistryHasLongNamedMayHaveBegunStreams() {
        list("v1");
        beginAtAnotherInstance(STREAM, "v2");
        timer.advance(Duration.ofSeconds(1));
        assertEquals(Optional.of("v2"), find(STREAM));
        timer.advance(Duration.ofSeconds(30));
        assertEquals(Optional.empty(), find(STREAM + 1));
    }

    /** Begins a stream at an instance that is in step; from then on it does not answer this one. */
    private void beginAtAnotherInstance(long stream, String version) {
        StreamTracking other = newProcess("front-2");
        other.setEndpoints(endpoints("v1", "v2"));
        timer.advance(Duration.ofMillis(100));
        other.recordGranted(new StreamOrigin(SERVICE, stream, version));
        streams.setPeers((_service, _stream, onAnswers) ->
                onAnswers.accept(new OriginPeers.Answers(ImmutableList.of(), false, false)));
    }

    private static OriginPeers peer(OriginAnswer answer) {
        return peer(answer, true);
    }

    private static OriginPeers peer(OriginAnswer answer, boolean areAllAsked) {
        return (_service, _stream, onAnswers) ->
                onAnswers.accept(new OriginPeers.Answers(ImmutableList.of(answer), true, areAllAsked));
    }

    /** Guards against an instance that has not learnt of a new version yet. */
    @Test
    void onlyVersionIsNotTrustedIfAnotherInstanceKnowsOfSeveral() {
        list("v1");
        streams.setPeers(peer(new OriginAnswer(Optional.empty(), ImmutableSet.of("v1", "v2"))));
        assertEquals(Optional.empty(), find(STREAM));
    }

    /** Guards against refusals on ordinary days, while another instance starts. */
    @Test
    void onlyVersionIsTrustedIfAnotherInstanceHasJustStarted() {
        list("v1");
        streams.setPeers(peer(new OriginAnswer(Optional.empty(), ImmutableSet.of())));
        assertEquals(Optional.of("v1"), find(STREAM));
    }

    /** Guards against the deduction of an instance that knows less than the one that asks. */
    @Test
    void deductionOfAnotherInstanceIsNotTrusted() {
        list("v1", "v2");
        streams.setPeers(peer(new OriginAnswer(Optional.empty(), ImmutableSet.of("v1"))));
        assertEquals(Optional.empty(), find(STREAM));
    }

    /** Guards against refusals of all streams while the store is down. */
    @Test
    void onlyVersionOfAnOldListIsTrustedIfAllAgree() {
        list("v1");
        timer.advance(Duration.ofSeconds(10));
        versionStore.isReadable = false;
        streams.setPeers(peer(new OriginAnswer(Optional.empty(), ImmutableSet.of("v1"))));
        assertEquals(Optional.of("v1"), find(STREAM));
    }

    /** Guards against instances that are cut off together, and agree on what was true before. */
    @Test
    void agreementOfTheInstancesThatAnswerIsNotEnoughIfOthersAreSilent() {
        list("v1");
        versionStore.isReadable = false;
        streams.setPeers(peer(new OriginAnswer(Optional.empty(), ImmutableSet.of("v1")), false));
        assertEquals(Optional.empty(), find(STREAM));
    }

    /** Guards against streams of a service that a route no longer leads to. */
    @Test
    void streamOfAnotherServiceIsUnknown() {
        list("v1");
        streams.recordOrigin(new StreamOrigin(new ServiceName("other"), STREAM, "v1"));
        assertEquals(Optional.empty(), find(STREAM));
    }

    /** Guards against a copy of the store that lacks a version which has begun streams. */
    @Test
    void onlyVersionIsNotTrustedRightAfterTheStoreRestarted() {
        list("v1");
        streams.storeRestarted();
        assertEquals(Optional.empty(), find(STREAM));
        timer.advance(Duration.ofSeconds(3));
        list("v1");
        assertEquals(Optional.of("v1"), find(STREAM));
    }

    /** Guards against starts that serve nothing for a second while the store does not confirm writes. */
    @Test
    void versionThatTheStoreNamesIsUsableAtOnce() {
        list("v1");
        timer.advance(Duration.ofSeconds(30));
        versionStore.isSilent = true;
        streams = newProcess();
        list("v1");
        assertEquals(List.of("v1"), usable);
    }

    /** Guards against a version that takes over while no instance runs. */
    @Test
    void versionThatServedBeforeARestartMayHaveBegunStreams() {
        list("v1");
        streams = newProcess();
        list("v2");
        assertEquals(List.of("v2"), usable);
        assertEquals(Optional.empty(), find(STREAM));
    }

    @Test
    void streamsOfMixedVersionsAreKnownAfterARestart() {
        list("v1");
        streams.recordGranted(new StreamOrigin(SERVICE, STREAM, "v1"));
        list("v1", "v2");
        streams.recordGranted(new StreamOrigin(SERVICE, STREAM + 1, "v2"));
        timer.advance(Duration.ofSeconds(1));
        streams = newProcess();
        list("v1", "v2");
        assertEquals(Optional.of("v1"), find(STREAM));
        assertEquals(Optional.of("v2"), find(STREAM + 1));
        assertEquals(Optional.empty(), find(STREAM + 2));
    }

    /** Guards against streams that are refused after a restart, as the store still names a version that has left. */
    @Test
    void originsAreWrittenAsLongAsTheStoreNamesSeveralVersions() {
        list("v1", "v2");
        list("v2");
        timer.advance(Duration.ofSeconds(21));
        streams.recordGranted(new StreamOrigin(SERVICE, STREAM, "v2"));
        timer.advance(Duration.ofSeconds(1));
        streams = newProcess();
        list("v2");
        assertEquals(Optional.of("v2"), find(STREAM));
    }

    /** Guards against calls to the store on ordinary days. */
    @Test
    void nothingIsWrittenWithOneVersion() {
        list("v1");
        streams.recordGranted(new StreamOrigin(SERVICE, STREAM, "v1"));
        timer.advance(Duration.ofSeconds(30));
        assertEquals(Map.of(), originStore.segments);
    }

    /** Segments that are saved at once. */
    private static final class MemoryOrigins implements OriginStore {
        private final Map<String, OriginSegment> segments = new HashMap<>();
        private boolean isAvailable = true;

        @Override
        public CompletableFuture<Boolean> save(OriginSegment segment) {
            if (isAvailable) {
                segments.put(OriginSegmentCodec.name(segment), segment);
            }
            return CompletableFuture.completedFuture(isAvailable);
        }

        @Override
        public CompletableFuture<Optional<ImmutableList<OriginSegment>>> load() {
            return CompletableFuture.completedFuture(
                    isAvailable ? Optional.of(ImmutableList.copyOf(segments.values())) : Optional.empty());
        }
    }

    /** An entry that is written at once. */
    private static final class MemoryVersions implements VersionStore {
        private ImmutableList<RegisteredVersions> entries = ImmutableList.of();
        private boolean isSilent;
        private boolean isReadable = true;

        @Override
        public CompletableFuture<Optional<ImmutableList<RegisteredVersions>>> load() {
            return CompletableFuture.completedFuture(isReadable ? Optional.of(entries) : Optional.empty());
        }

        @Override
        public CompletableFuture<Result> write(RegisteredVersions versions) {
            if (isSilent) {
                return new CompletableFuture<>();
            }
            entries = ImmutableList.of(
                    new RegisteredVersions(versions.service(), versions.revision() + 1, versions.lastPresent()));
            return CompletableFuture.completedFuture(new Result(true, Optional.empty()));
        }
    }
}
