package org.cowslippick.scheduler.share;

/**
 * The backlogs of organisations in classes of doubling work, which bounds the time to sum up parts of all backlogs. Only
 * within the class that contains the bound the sum is an approximation.
 */
final class BacklogHistogram {

    private static final int CLASSES = 64;

    private final int[] organisations = new int[CLASSES];
    private final int[] requests = new int[CLASSES];

    /** The sum of requests behind the first, per unit of work, of the organisations of a class. */
    private final double[] density = new double[CLASSES];

    void add(int size, double work) {
        int index = index(work);
        organisations[index]++;
        requests[index] += size;
        density[index] += (size - 1) / work;
    }

    void remove(int size, double work) {
        int index = index(work);
        organisations[index]--;
        requests[index] -= size;
        density[index] = organisations[index] == 0 ? 0 : density[index] - (size - 1) / work;
    }

    /** The requests in the first part of each backlog that holds the given work, and at least the first of each. */
    double countWithin(double work) {
        int bound = work < 1 ? -1 : index(work);
        double count = 0;
        for (int index = 0; index < CLASSES; index++) {
            int behindFirst = requests[index] - organisations[index];
            count +=
                    organisations[index] + (index < bound ? behindFirst : Math.min(behindFirst, work * density[index]));
        }
        return count;
    }

    /** The same without the backlog of one organisation, which may be empty. */
    double countWithin(double work, int excludedSize, double excludedWork) {
        if (excludedSize == 0) {
            return countWithin(work);
        }
        remove(excludedSize, excludedWork);
        double count = countWithin(work);
        add(excludedSize, excludedWork);
        return Math.max(0, count);
    }

    private static int index(double work) {
        return Math.max(0, Math.min(Math.getExponent(work), CLASSES - 1));
    }
}
