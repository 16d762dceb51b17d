package org.cowslippick.relay.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.peer.RolloutStatus;
import org.cowslippick.relay.peer.StoredRollout;
import org.cowslippick.scheduler.rollout.RolloutOrder;
import org.cowslippick.scheduler.rollout.RolloutStage;
import org.cowslippick.scheduler.rollout.RolloutTotals;
import org.jboss.logging.Logger;

/** Decodes orders of roll-outs and their status. A malformed order is skipped, and logged once for each revision. */
public final class RolloutDecoder {

    static final String COMPLETED = "completed";
    static final String ROLLED_BACK = "rolled_back";
    static final String RUNNING = "running";

    private static final Logger LOGGER = Logger.getLogger("cowslippick.rollout");
    private static final double MAXIMUM_DURATION_SECONDS = Duration.ofDays(7).toSeconds();
    private static final double MILLISECONDS_PER_SECOND = 1000;
    private static final int MAXIMUM_LOGGED = 1_000;

    private final Set<String> logged = new HashSet<>();

    /** The order and its status; nothing if the order is malformed. */
    public Optional<StoredRollout> decode(RolloutObject object) {
        try {
            RolloutOrder order = order(object.spec());
            return Optional.of(new StoredRollout(order, status(object.status(), order.target())));
        } catch (IllegalArgumentException malformed) {
            if (logged.size() < MAXIMUM_LOGGED && logged.add(object.name() + "@" + object.revision())) {
                LOGGER.warn(LogLine.of("rollout-order-unreadable")
                        .with("name", object.name())
                        .with("cause", String.valueOf(malformed.getMessage())));
            }
            return Optional.empty();
        }
    }

    private static RolloutOrder order(JsonNode spec) {
        return new RolloutOrder(
                new ServiceName(requiredText(spec, "service")), requiredText(spec, "target"), duration(spec));
    }

    private static Duration duration(JsonNode spec) {
        double seconds = Optional.ofNullable(spec.get("durationS"))
                .filter(JsonNode::isNumber)
                .map(JsonNode::asDouble)
                .filter(value -> value > 0 && value <= MAXIMUM_DURATION_SECONDS)
                .orElseThrow(
                        () -> new IllegalArgumentException("field \"durationS\" must be a number above 0 and at most "
                                + MAXIMUM_DURATION_SECONDS + ": " + spec.path("durationS")));
        return Duration.ofMillis((long) (seconds * MILLISECONDS_PER_SECOND));
    }

    /** The status of an order for the target; that of an earlier order, or a malformed one, counts as none. */
    private static Optional<RolloutStatus> status(JsonNode status, String target) {
        long startedAt = status.path("startedAtMs").asLong();
        return Optional.of(status)
                .filter(present -> present.path("target").asText().equals(target))
                .flatMap(RolloutDecoder::stage)
                .filter(stage -> stage.isFinal() || startedAt > 0)
                .map(stage -> new RolloutStatus(target, stage, startedAt, RolloutTotals.NONE));
    }

    private static Optional<RolloutStage> stage(JsonNode status) {
        return switch (status.path("state").asText()) {
            case COMPLETED -> Optional.of(RolloutStage.COMPLETED);
            case ROLLED_BACK -> Optional.of(RolloutStage.ROLLED_BACK);
            case RUNNING -> Optional.of(runningStage(status.path("stage").asText()));
            default -> Optional.empty();
        };
    }

    private static RolloutStage runningStage(String name) {
        return switch (name) {
            case "CANARY" -> RolloutStage.CANARY;
            case "CUTOVER" -> RolloutStage.CUTOVER;
            case "SEALED" -> RolloutStage.SEALED;
            default -> RolloutStage.PROBE;
        };
    }

    private static String requiredText(JsonNode spec, String field) {
        return Optional.ofNullable(spec.get(field))
                .filter(JsonNode::isTextual)
                .map(JsonNode::asText)
                .filter(text -> !text.isEmpty())
                .orElseThrow(
                        () -> new IllegalArgumentException("field \"" + field + "\" is missing or is not a string"));
    }
}
