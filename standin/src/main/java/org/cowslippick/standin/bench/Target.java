package org.cowslippick.standin.bench;

/** The target value of a measure. */
record Target(Bound bound, double value) {

    /** The kind of bound that the value sets. */
    enum Bound {
        AT_LEAST(">= ") {
            @Override
            boolean isMet(double value, double cowslippick, double _naive) {
                return cowslippick >= value;
            }
        },
        AT_MOST("<= ") {
            @Override
            boolean isMet(double value, double cowslippick, double _naive) {
                return cowslippick <= value;
            }
        },
        RATIO_AT_LEAST("ratio >= ") {
            @Override
            boolean isMet(double value, double cowslippick, double naive) {
                return cowslippick > 0 && cowslippick >= value * naive;
            }
        };

        private final String text;

        Bound(String text) {
            this.text = text;
        }

        abstract boolean isMet(double value, double cowslippick, double naive);
    }

    static Target atLeast(double value) {
        return new Target(Bound.AT_LEAST, value);
    }

    static Target atMost(double value) {
        return new Target(Bound.AT_MOST, value);
    }

    static Target ratioAtLeast(double value) {
        return new Target(Bound.RATIO_AT_LEAST, value);
    }

    String text() {
        return bound.text + value;
    }

    boolean isMet(double cowslippick, double naive) {
        return bound.isMet(value, cowslippick, naive);
    }
}
