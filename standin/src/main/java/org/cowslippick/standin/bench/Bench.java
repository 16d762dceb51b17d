package org.cowslippick.standin.bench;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/** The benches; their lower-case names select them on the command line. */
enum Bench {
    RELAY {
        @Override
        BenchReport run(BenchOptions options) {
            return RelayBench.run(options);
        }
    },
    TIERS {
        @Override
        BenchReport run(BenchOptions options) {
            return TiersBench.run(options);
        }
    },
    CREST {
        @Override
        BenchReport run(BenchOptions options) {
            return CrestBench.run(options);
        }
    },
    STRAGGLERS {
        @Override
        BenchReport run(BenchOptions options) {
            return StragglersBench.run(options);
        }
    },
    PREFILL {
        @Override
        BenchReport run(BenchOptions options) {
            return PrefillBench.run(options);
        }
    },
    LIMITS {
        @Override
        BenchReport run(BenchOptions options) {
            return LimitsBench.run(options);
        }
    },
    SLOPES {
        @Override
        BenchReport run(BenchOptions options) {
            return SlopesBench.run(options);
        }
    };

    abstract BenchReport run(BenchOptions options);

    String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    static Optional<Bench> parse(String text) {
        return Arrays.stream(values())
                .filter(bench -> bench.text().equals(text))
                .findFirst();
    }

    static String names() {
        return Arrays.stream(values()).map(Bench::text).collect(Collectors.joining("|"));
    }
}
