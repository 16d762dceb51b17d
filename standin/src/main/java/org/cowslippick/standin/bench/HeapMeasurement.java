package org.cowslippick.standin.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.ref.Reference;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/** Measures the heap that a structure retains, as the difference of heap use before and after it is built. */
final class HeapMeasurement {

    private static final int GARBAGE_COLLECTIONS = 3;

    private HeapMeasurement() {}

    /** Returns the heap in bytes that the built object retains. */
    static double retainedBytes(Supplier<?> build) {
        long usedBefore = usedBytes();
        Object built = build.get();
        try {
            return usedBytes() - usedBefore;
        } finally {
            Reference.reachabilityFence(built);
        }
    }

    private static long usedBytes() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        IntStream.range(0, GARBAGE_COLLECTIONS).forEach(_time -> memory.gc());
        return memory.getHeapMemoryUsage().getUsed();
    }
}
