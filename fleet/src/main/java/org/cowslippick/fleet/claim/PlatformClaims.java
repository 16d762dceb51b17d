package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.fleet.platform.ObjectKey;
import org.cowslippick.fleet.platform.Platform;
import org.jboss.logging.Logger;

/** Claims stored in the platform, distributed over partitions by identity. */
final class PlatformClaims {

    static final String KIND = "claims";
    static final int PARTITIONS = 64;

    private static final Logger LOG = Logger.getLogger("cowslippick.claims");
    private static final Duration RELEASE_RETRY_PERIOD = Duration.ofSeconds(5);
    private static final int RELEASE_ATTEMPTS = 100;

    private final TimerService timer;
    private final ImmutableList<PartitionCommitter> partitions;

    PlatformClaims(Platform platform, TimerService timer) {
        this.timer = timer;
        this.partitions = IntStream.range(0, PARTITIONS)
                .mapToObj(number -> new PartitionCommitter(new ObjectKey(KIND, "partition-" + number), platform, timer))
                .collect(ImmutableList.toImmutableList());
    }

    CompletableFuture<ClaimOperationResult.Kind> claim(ClaimIdentity identity, RequestId request) {
        return submit(ClaimOperation.Kind.CLAIM, identity, request).thenApply(result -> {
            if (result == ClaimOperationResult.Kind.IN_DOUBT) {
                // The attempt is rejected, so a claim that may still be committed for it would only block the identity.
                release(identity, request);
            }
            return result;
        });
    }

    /** Releases the identity if the attempt holds it; retries while the platform is unavailable. */
    void release(ClaimIdentity identity, RequestId request) {
        release(identity, request, RELEASE_ATTEMPTS);
    }

    // No caller waits for a release; its failure is logged here.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void release(ClaimIdentity identity, RequestId request, int attemptsLeft) {
        submit(ClaimOperation.Kind.RELEASE, identity, request).thenAccept(result -> {
            if (result.isConclusive()) {
                return;
            }
            if (attemptsLeft == 1) {
                LOG.warnf("claims: release abandoned request=%s attempts=%d", request, RELEASE_ATTEMPTS);
            } else {
                timer.schedule(RELEASE_RETRY_PERIOD, () -> release(identity, request, attemptsLeft - 1));
            }
        });
    }

    private CompletableFuture<ClaimOperationResult.Kind> submit(
            ClaimOperation.Kind kind, ClaimIdentity identity, RequestId request) {
        return partitions
                .get(identity.partition(PARTITIONS))
                .submit(new ClaimOperation(kind, identity, request))
                .thenApply(ClaimOperationResult::kind);
    }
}
