package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** The requests of one run in order of their intended send times; it follows from the shape and the seed alone. */
record Trace(ImmutableList<TracedRequest> requests) {

    static final int SHORTEST_PROMPT_TOKENS = 20;
    static final int LONGEST_PROMPT_TOKENS = 2000;
    static final int SHORTEST_ANSWER_TOKENS = 1;
    static final int LONGEST_ANSWER_TOKENS = 100;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double URGENT_SHARE = 0.25;
    private static final double STANDARD_SHARE = 0.35;
    private static final double SHARED_PROMPT_SHARE = 0.5;
    private static final double LONGEST_PATIENCE_IN_PROMISES = 3;

    /** Draws a trace: Poisson arrivals along the curve, and lengths spread evenly over their logarithm. */
    static Trace draw(TraceShape shape, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ImmutableList.Builder<TracedRequest> requests = ImmutableList.builder();
        double second = nextArrival(0, shape, random);
        for (int number = 0; second < shape.length().toMillis() / 1000.0; number++) {
            requests.add(request(number, second, shape, random));
            second = nextArrival(second, shape, random);
        }
        return new Trace(requests.build());
    }

    double meanPromptTokens() {
        return requests.stream().mapToInt(TracedRequest::promptTokens).average().orElse(0);
    }

    double meanAnswerTokens() {
        return requests.stream().mapToInt(TracedRequest::answerTokens).average().orElse(0);
    }

    Duration length() {
        return requests.isEmpty()
                ? Duration.ZERO
                : Duration.ofNanos(requests.get(requests.size() - 1).sendAtNanos());
    }

    private static double nextArrival(double second, TraceShape shape, SplittableRandom random) {
        double rate = shape.requestsPerSecond() * shape.curve().factor(second);
        return second - Math.log(1 - random.nextDouble()) / rate;
    }

    private static TracedRequest request(int number, double second, TraceShape shape, SplittableRandom random) {
        BenchTier tier = tier(random.nextDouble());
        int organisation = organisation(shape.organisationShares(), random.nextDouble());
        int promptTokens = length(SHORTEST_PROMPT_TOKENS, LONGEST_PROMPT_TOKENS, random);
        double patience = tier.firstToken().toNanos() * (1 + random.nextDouble() * (LONGEST_PATIENCE_IN_PROMISES - 1));
        return new TracedRequest(
                number,
                (long) (second * NANOS_PER_SECOND),
                organisation,
                tier,
                promptTokens,
                (int) (promptTokens * SHARED_PROMPT_SHARE),
                length(SHORTEST_ANSWER_TOKENS, LONGEST_ANSWER_TOKENS, random),
                shape.givingUp() ? (long) patience : Long.MAX_VALUE);
    }

    private static BenchTier tier(double draw) {
        if (draw < URGENT_SHARE) {
            return BenchTier.URGENT;
        }
        return draw < URGENT_SHARE + STANDARD_SHARE ? BenchTier.STANDARD : BenchTier.BATCH;
    }

    private static int organisation(ImmutableList<Double> shares, double draw) {
        return (int) IntStream.rangeClosed(1, shares.size() - 1)
                .filter(count -> shares.subList(0, count).stream()
                                .mapToDouble(share -> share)
                                .sum()
                        <= draw)
                .count();
    }

    private static int length(int shortest, int longest, SplittableRandom random) {
        return (int) Math.round(shortest * Math.pow((double) longest / shortest, random.nextDouble()));
    }
}
