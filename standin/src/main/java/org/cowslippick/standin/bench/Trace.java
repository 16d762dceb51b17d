package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** The requests of one run in order of intended send time; parameters and seed determine them. */
record Trace(ImmutableList<TracedRequest> requests) {

    static final int MINIMUM_PROMPT_TOKENS = 20;
    static final int MAXIMUM_PROMPT_TOKENS = 2000;
    static final int MINIMUM_ANSWER_TOKENS = 1;
    static final int MAXIMUM_ANSWER_TOKENS = 100;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double URGENT_SHARE = 0.25;
    private static final double STANDARD_SHARE = 0.35;
    private static final double SHARED_PROMPT_SHARE = 0.5;
    private static final double MAXIMUM_TIMEOUT_IN_FIRST_TOKEN_TARGETS = 3;

    /** Generates a trace with Poisson arrivals that follow the load curve and log-uniform lengths. */
    static Trace generate(TraceParameters parameters, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ImmutableList.Builder<TracedRequest> requests = ImmutableList.builder();
        double second = nextArrival(0, parameters, random);
        for (int number = 0; second < parameters.duration().toMillis() / 1000.0; number++) {
            requests.add(generateRequest(number, second, parameters, random));
            second = nextArrival(second, parameters, random);
        }
        return new Trace(requests.build());
    }

    double meanPromptTokens() {
        return requests.stream().mapToInt(TracedRequest::promptTokens).average().orElse(0);
    }

    double meanAnswerTokens() {
        return requests.stream().mapToInt(TracedRequest::answerTokens).average().orElse(0);
    }

    Duration duration() {
        return requests.isEmpty()
                ? Duration.ZERO
                : Duration.ofNanos(requests.get(requests.size() - 1).sendAtNanos());
    }

    private static double nextArrival(double second, TraceParameters parameters, SplittableRandom random) {
        double rate = parameters.requestsPerSecond() * parameters.curve().factor(second);
        return second - Math.log(1 - random.nextDouble()) / rate;
    }

    private static TracedRequest generateRequest(
            int number, double second, TraceParameters parameters, SplittableRandom random) {
        BenchTier tier = tierAt(random.nextDouble());
        int organisation = organisationAt(parameters.organisationShares(), random.nextDouble());
        int promptTokens = randomLength(MINIMUM_PROMPT_TOKENS, MAXIMUM_PROMPT_TOKENS, random);
        double firstTokenTimeoutNanos =
                tier.firstToken().toNanos() * (1 + random.nextDouble() * (MAXIMUM_TIMEOUT_IN_FIRST_TOKEN_TARGETS - 1));
        return new TracedRequest(
                number,
                (long) (second * NANOS_PER_SECOND),
                organisation,
                tier,
                promptTokens,
                (int) (promptTokens * SHARED_PROMPT_SHARE),
                randomLength(MINIMUM_ANSWER_TOKENS, MAXIMUM_ANSWER_TOKENS, random),
                parameters.callersTimeOut() ? (long) firstTokenTimeoutNanos : Long.MAX_VALUE);
    }

    private static BenchTier tierAt(double draw) {
        if (draw < URGENT_SHARE) {
            return BenchTier.URGENT;
        }
        return draw < URGENT_SHARE + STANDARD_SHARE ? BenchTier.STANDARD : BenchTier.BATCH;
    }

    private static int organisationAt(ImmutableList<Double> shares, double draw) {
        return (int) IntStream.rangeClosed(1, shares.size() - 1)
                .filter(count -> shares.subList(0, count).stream()
                                .mapToDouble(share -> share)
                                .sum()
                        <= draw)
                .count();
    }

    private static int randomLength(int minimum, int maximum, SplittableRandom random) {
        return (int) Math.round(minimum * Math.pow((double) maximum / minimum, random.nextDouble()));
    }
}
