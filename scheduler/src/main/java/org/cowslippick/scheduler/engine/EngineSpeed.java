package org.cowslippick.scheduler.engine;

/**
 * The learnt speed of one engine, apart from the momentary load of its machine. Until it has been observed it is the
 * median of its pool.
 */
public final class EngineSpeed {

    /** By which factor a reported load of the machine lets a sample differ from the estimate. */
    private static final double MAXIMUM_CORRECTION = 2;

    private final PoolSpeeds pool;
    private final LearntTime prompt = new LearntTime();
    private final LearntTime answer = new LearntTime();
    private final LearntTime call = new LearntTime();
    private final MachineLoad machine = new MachineLoad();

    public EngineSpeed(PoolSpeeds pool) {
        this.pool = pool;
    }

    /** Whether any time to a first token or to a response is known. */
    public boolean isKnown() {
        return prompt.isKnown() || call.isKnown();
    }

    /** The expected time for each prompt token that is processed before the first token of an answer. */
    public double nanosPerPromptToken(long nowNanos) {
        return prompt.orElse(pool.nanosPerPromptToken()) * machine.factor(nowNanos);
    }

    /** The expected time between two tokens; answers outlast any momentary load of the machine. */
    public double nanosPerAnswerToken() {
        return answer.orElse(pool.nanosPerAnswerToken());
    }

    /** The expected time of an application call on an idle endpoint. */
    public double callNanos(long nowNanos) {
        return call.orElse(pool.callNanos()) * machine.factor(nowNanos);
    }

    public void observePrompt(double nanosPerToken, long nowNanos) {
        prompt.observe(corrected(nanosPerToken, prompt.orElse(pool.nanosPerPromptToken()), nowNanos));
    }

    /**
     * Records a time for each prompt token of which only bounds are known, as the engine may have had some of the tokens
     * in its cache. Bounds that include the expected time tell nothing.
     */
    public void observePrompt(double lowestNanos, double highestNanos, long nowNanos) {
        double expected = nanosPerPromptToken(nowNanos);
        if (highestNanos <= expected || lowestNanos == highestNanos) {
            observePrompt(highestNanos, nowNanos);
        } else if (lowestNanos >= expected) {
            observePrompt(lowestNanos, nowNanos);
        }
    }

    public void observeAnswer(double nanosPerToken) {
        answer.observe(nanosPerToken);
    }

    public void observeCall(double nanos, long nowNanos) {
        call.observe(corrected(nanos, call.orElse(pool.callNanos()), nowNanos));
    }

    /**
     * Divides a sample by the factor of the machine. The load at the report may differ much from that while the request
     * ran, so a correction does not lead beyond half of the estimate or twice the estimate.
     */
    private double corrected(double sample, double estimate, long nowNanos) {
        double lowest = Math.min(sample, estimate / MAXIMUM_CORRECTION);
        double highest = Math.max(sample, estimate * MAXIMUM_CORRECTION);
        return Math.max(lowest, Math.min(sample / machine.factor(nowNanos), highest));
    }

    /** Records how long work takes on the engine's machine; implausible values are ignored. */
    public void recordMachineLoad(double percent, long asOfNanos) {
        if (EngineLoadReport.isPlausible(percent)) {
            machine.record(percent, asOfNanos);
        }
    }

    /** The estimate for other instances; 0 for what has never been observed. */
    public SpeedEstimate estimate() {
        return new SpeedEstimate(prompt.orElse(0), answer.orElse(0), call.orElse(0));
    }

    /** Takes over the estimate of the pool's present owner. */
    public void replaceBy(SpeedEstimate estimate) {
        prompt.inherit(estimate.nanosPerPromptToken());
        answer.inherit(estimate.nanosPerAnswerToken());
        call.inherit(estimate.callNanos());
    }

    /** Takes over what a former owner knew, unless this owner has observed the engine itself. */
    public void inherit(SpeedEstimate estimate) {
        replaceBy(new SpeedEstimate(
                prompt.isObserved() ? 0 : estimate.nanosPerPromptToken(),
                answer.isObserved() ? 0 : estimate.nanosPerAnswerToken(),
                call.isObserved() ? 0 : estimate.callNanos()));
    }

    /** Handles a new run of the engine; at the same address it is likely to be on the same machine. */
    public void restarted(boolean isSameAddress) {
        machine.forget();
        if (isSameAddress) {
            prompt.distrust();
            answer.distrust();
            call.distrust();
        } else {
            prompt.forget();
            answer.forget();
            call.forget();
        }
    }

    LearntTime prompt() {
        return prompt;
    }

    LearntTime answer() {
        return answer;
    }

    LearntTime call() {
        return call;
    }
}
