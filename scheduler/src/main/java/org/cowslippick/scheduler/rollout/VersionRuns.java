package org.cowslippick.scheduler.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.routing.LiveEndpoint;

/** The requests that run on the endpoints of one queue, with what is needed to compare the times of versions. */
final class VersionRuns {

    private final VersionMeter meter;
    private final Map<Object, Run> runs = new HashMap<>();

    /** Work that each endpoint has before the first event of a further request. */
    private final Map<String, Double> pendingWork = new HashMap<>();

    VersionRuns(VersionMeter meter) {
        this.meter = meter;
    }

    void start(Object key, LiveEndpoint endpoint, int route, double work, long nowNanos) {
        double ahead = pendingWork.merge(endpoint.id(), work, Double::sum);
        runs.put(key, new Run(endpoint, route, work, ahead, nowNanos));
    }

    void adopt(Object key, LiveEndpoint endpoint, int route) {
        Run run = new Run(endpoint, route, 0, 0, 0);
        run.isAnswered = true;
        run.isAdopted = true;
        runs.put(key, run);
    }

    /** Takes the requests that run now for no evidence. */
    void ignoreRunning() {
        runs.values().forEach(run -> run.isIgnored = true);
    }

    void answerStarted(Object key, Optional<String> target, long nowNanos) {
        Run run = runs.get(key);
        if (run == null || run.isAnswered) {
            return;
        }
        run.isAnswered = true;
        run.answeredAtNanos = nowNanos;
        removePending(run);
        run.isSlow = meter.recordFirst(run.route, run.isOf(target), run.firstTime(nowNanos));
    }

    void end(
            Object key,
            Optional<String> target,
            boolean isFailure,
            boolean isEvidence,
            long answerTokens,
            long nowNanos) {
        Run run = runs.remove(key);
        if (run == null) {
            return;
        }
        boolean isTarget = run.isOf(target);
        boolean wasAnswered = run.isAnswered;
        if (!wasAnswered) {
            removePending(run);
        }
        if (!isEvidence || run.isIgnored) {
            return;
        }
        if (isFailure) {
            meter.count(run.route, isTarget, true, false);
        } else if (!wasAnswered) {
            // The caller left, which says something only if the version took longer than the other one would have.
            if (meter.isFirstSlow(run.route, run.firstTime(nowNanos))) {
                meter.count(run.route, isTarget, false, true);
            }
        } else {
            boolean isAnswerSlow = answerTokens > 0
                    && !run.isAdopted
                    && meter.recordAnswer(
                            run.route, isTarget, (double) (nowNanos - run.answeredAtNanos) / answerTokens);
            meter.count(run.route, isTarget, false, run.isSlow || isAnswerSlow);
        }
    }

    private void removePending(Run run) {
        pendingWork.computeIfPresent(
                run.endpoint.id(), (_id, pending) -> pending - run.work <= 0 ? null : pending - run.work);
    }

    /** The runs on endpoints of other versions than the given one. */
    long countOthers(String target) {
        return runs.values().stream()
                .filter(run -> !run.endpoint.softwareVersion().equals(target))
                .count();
    }

    private static final class Run {
        private final LiveEndpoint endpoint;
        private final int route;
        private final double work;
        private final double workToFirst;
        private final long startedAtNanos;
        private long answeredAtNanos;
        private boolean isAnswered;
        private boolean isAdopted;
        private boolean isSlow;
        private boolean isIgnored;

        Run(LiveEndpoint endpoint, int route, double work, double workToFirst, long startedAtNanos) {
            this.endpoint = endpoint;
            this.route = route;
            this.work = work;
            this.workToFirst = workToFirst;
            this.startedAtNanos = startedAtNanos;
        }

        boolean isOf(Optional<String> target) {
            return target.filter(endpoint.softwareVersion()::equals).isPresent();
        }

        VersionMeter.FirstTime firstTime(long nowNanos) {
            double elapsed = nowNanos - startedAtNanos;
            return new VersionMeter.FirstTime(elapsed / Math.max(1, work), elapsed / Math.max(1, workToFirst));
        }
    }
}
