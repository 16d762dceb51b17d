package org.cowslippick.standin.bench;

import java.time.Duration;
import java.util.Locale;

/** The tiers of the benches, highest first, with their latency targets. */
enum BenchTier {
    URGENT(0, 8, Duration.ofMillis(530), Duration.ofMillis(58), Duration.ofSeconds(8)),
    STANDARD(1, 2, Duration.ofSeconds(2), Duration.ofMillis(80), Duration.ofSeconds(9)),
    BATCH(2, 1, Duration.ofSeconds(6), Duration.ofMillis(120), Duration.ofSeconds(10));

    private final int rank;
    private final int weight;
    private final Duration firstToken;
    private final Duration betweenTokens;
    private final Duration deadline;

    BenchTier(int rank, int weight, Duration firstToken, Duration betweenTokens, Duration deadline) {
        this.rank = rank;
        this.weight = weight;
        this.firstToken = firstToken;
        this.betweenTokens = betweenTokens;
        this.deadline = deadline;
    }

    int rank() {
        return rank;
    }

    int weight() {
        return weight;
    }

    Duration firstToken() {
        return firstToken;
    }

    Duration betweenTokens() {
        return betweenTokens;
    }

    Duration deadline() {
        return deadline;
    }

    /** Returns the name of the tier in the settings. */
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
