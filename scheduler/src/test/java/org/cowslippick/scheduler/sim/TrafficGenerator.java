package org.cowslippick.scheduler.sim;

import com.google.common.collect.ImmutableList;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;
import java.util.stream.LongStream;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.DispatchRule;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.pool.Samples;

/**
 * Generates a seeded open-loop trace: Poisson arrivals at a time-varying rate, four tiers, prompt and answer lengths
 * with a log-uniform distribution over a factor of 100, and a first-token target and deadline per tier.
 */
final class TrafficGenerator {

    private static final double[] CUMULATIVE_TIER_SHARES = {0.15, 0.40, 0.70, 1.0};
    private static final long[] FIRST_TOKEN_MILLISECONDS = {530, 530, 2_000, 5_000};
    private static final long[] DEADLINE_MILLISECONDS = {10_000, 10_000, 20_000, 30_000};
    private static final int MINIMUM_PROMPT_TOKENS = 20;
    private static final int MINIMUM_ANSWER_TOKENS = 2;
    private static final double RANGE = 100;
    private static final int ORGANISATIONS = 5;
    private static final int PREFIXES = 40;
    private static final int BLOCK_TOKENS = 64;

    private final SplittableRandom random;
    private long nextNumber;

    TrafficGenerator(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Generates all arrivals up to the end of the trace, in order. */
    ImmutableList<RequestDescriptor> generate(long endNanos, LongToDoubleFunction requestsPerSecond) {
        ImmutableList.Builder<RequestDescriptor> arrivals = ImmutableList.builder();
        long at = 0;
        while (at < endNanos) {
            at += (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond.applyAsDouble(at) * Samples.SECOND);
            arrivals.add(request(at));
        }
        return arrivals.build();
    }

    private RequestDescriptor request(long atNanos) {
        double draw = random.nextDouble();
        int rank = 0;
        while (draw > CUMULATIVE_TIER_SHARES[rank]) {
            rank++;
        }
        int promptTokens = length(MINIMUM_PROMPT_TOKENS);
        return new RequestDescriptor(
                new RequestId("r" + nextNumber++),
                new InstanceName("entry"),
                new Region("west"),
                new OrganisationName("o" + random.nextInt(ORGANISATIONS)),
                new ServiceName("chat"),
                Samples.tier(rank),
                rank == 0 ? DispatchRule.DISPATCH_ONCE : DispatchRule.IDEMPOTENT,
                atNanos,
                FIRST_TOKEN_MILLISECONDS[rank] * Samples.MILLISECOND,
                DEADLINE_MILLISECONDS[rank] * Samples.MILLISECOND,
                promptTokens,
                length(MINIMUM_ANSWER_TOKENS),
                false,
                prefixHashes(promptTokens),
                random.nextLong());
    }

    private ImmutableList<Long> prefixHashes(int promptTokens) {
        long prefix = random.nextInt(PREFIXES);
        int blocks = promptTokens / BLOCK_TOKENS;
        return LongStream.range(0, blocks)
                .mapToObj(block -> block < (blocks + 1) / 2 ? prefix * 1_000 + block : random.nextLong())
                .collect(ImmutableList.toImmutableList());
    }

    private int length(int minimum) {
        return (int) (minimum * Math.pow(RANGE, random.nextDouble()));
    }
}
