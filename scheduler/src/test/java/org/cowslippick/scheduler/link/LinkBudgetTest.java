package org.cowslippick.scheduler.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.world.Link;
import org.cowslippick.core.world.Region;
import org.cowslippick.scheduler.pool.Samples;
import org.junit.jupiter.api.Test;

class LinkBudgetTest {

    private static final Region WEST = new Region("west");
    private static final Region EAST = new Region("east");
    private static final long BYTES_PER_SECOND = 1_000_000;
    private static final int LARGEST_BYTES = 200_000;
    private static final ImmutableList<Link> LINKS = ImmutableList.of(new Link(WEST, EAST, BYTES_PER_SECOND, 2));

    @Property(seed = "1", tries = 100)
    void staysWithinItsPartOfTheLinkAndKeepsTierOrder(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double share = 0.25 + random.nextDouble() / 2;
        LinkBudget budget = new LinkBudget(LINKS, share, 0);
        long now = 0;
        int lowestRefusedAtOnce = Integer.MAX_VALUE;
        for (int step = 0; step < 500; step++) {
            boolean timePasses = random.nextInt(3) == 0;
            now += timePasses ? random.nextLong(100 * Samples.MILLISECOND) : 0;
            lowestRefusedAtOnce = timePasses ? Integer.MAX_VALUE : lowestRefusedAtOnce;
            int rank = random.nextInt(4);
            boolean crossed = budget.tryCross(crossing(rank, true, 1 + random.nextInt(LARGEST_BYTES)), now)
                    .isEmpty();
            assertTrue(!crossed || rank < lowestRefusedAtOnce, "a lower tier crossed after a higher one was refused");
            lowestRefusedAtOnce = crossed ? lowestRefusedAtOnce : Math.min(rank, lowestRefusedAtOnce);
        }
        double bound = BYTES_PER_SECOND * share * (1 + now / 1e9) + LARGEST_BYTES;
        assertTrue(budget.spend(WEST, EAST).bytes() <= bound);
    }

    @Test
    void crossesOnlyWhereTheContractPaysAndALinkExists() {
        LinkBudget budget = new LinkBudget(LINKS, 1, 0);
        assertEquals(
                ErrorKind.LINK_BUDGET_SPENT,
                budget.tryCross(crossing(0, false, 1), 0).orElseThrow().kind());
        assertTrue(budget.tryCross(new Crossing(EAST, WEST, Samples.tier(0), true, 1), 0)
                .isPresent());
        assertEquals(LinkSpend.NOTHING, budget.spend(WEST, EAST));
    }

    @Test
    void countsThePrice() {
        LinkBudget budget = new LinkBudget(LINKS, 1, 0);
        budget.tryCross(crossing(0, true, 500_000_000), 0);
        assertEquals(new LinkSpend(500_000_000, 1), budget.spend(WEST, EAST));
    }

    private static Crossing crossing(int rank, boolean pays, long bytes) {
        return new Crossing(WEST, EAST, Samples.tier(rank), pays, bytes);
    }
}
