package org.cowslippick.standin.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.ref.Reference;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/** Measures the heap that a structure holds, as the difference before and after it is built. */
final class HeapGauge {

    private static final int COLLECTIONS = 3;

    private HeapGauge() {}

    /** The bytes that the built object keeps reachable. */
    static double bytes(Supplier<?> build) {
        long before = usedBytes();
        Object built = build.get();
        try {
            return usedBytes() - before;
        } finally {
            Reference.reachabilityFence(built);
        }
    }

    private static long usedBytes() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        IntStream.range(0, COLLECTIONS).forEach(_time -> memory.gc());
        return memory.getHeapMemoryUsage().getUsed();
    }
}
