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
    private static final int MAXIMUM_BYTES = 200_000;
    private static final ImmutableList<Link> LINKS = ImmutableList.of(new Link(WEST, EAST, BYTES_PER_SECOND, 2));

    @Property(seed = "1", tries = 100)
    void staysWithinItsLinkShareAndKeepsTierOrder(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double share = 0.25 + random.nextDouble() / 2;
        LinkBudget budget = new LinkBudget(LINKS, share, 0);
        long now = 0;
        int highestRefusedTier = Integer.MAX_VALUE;
        for (int step = 0; step < 500; step++) {
            boolean timePasses = random.nextInt(3) == 0;
            now += timePasses ? random.nextLong(100 * Samples.MILLISECOND) : 0;
            highestRefusedTier = timePasses ? Integer.MAX_VALUE : highestRefusedTier;
            int rank = random.nextInt(4);
            boolean transferred = budget.tryTransfer(transfer(rank, true, 1 + random.nextInt(MAXIMUM_BYTES)), now)
                    .isEmpty();
            assertTrue(
                    !transferred || rank < highestRefusedTier,
                    "a lower tier was admitted after a higher one was refused");
            highestRefusedTier = transferred ? highestRefusedTier : Math.min(rank, highestRefusedTier);
        }
        double bound = BYTES_PER_SECOND * share * (1 + now / 1e9) + MAXIMUM_BYTES;
        assertTrue(budget.usage(WEST, EAST).bytes() <= bound);
    }

    @Test
    void transfersOnlyWhenCoveredByContractAndLinkExists() {
        LinkBudget budget = new LinkBudget(LINKS, 1, 0);
        assertEquals(
                ErrorKind.LINK_BUDGET_SPENT,
                budget.tryTransfer(transfer(0, false, 1), 0).orElseThrow().kind());
        assertTrue(budget.tryTransfer(new LinkTransfer(EAST, WEST, Samples.tier(0), true, 1), 0)
                .isPresent());
        assertEquals(LinkUsage.NONE, budget.usage(WEST, EAST));
    }

    @Test
    void recordsTheCost() {
        LinkBudget budget = new LinkBudget(LINKS, 1, 0);
        budget.tryTransfer(transfer(0, true, 500_000_000), 0);
        assertEquals(new LinkUsage(500_000_000, 1), budget.usage(WEST, EAST));
    }

    private static LinkTransfer transfer(int rank, boolean isCoveredByContract, long bytes) {
        return new LinkTransfer(WEST, EAST, Samples.tier(rank), isCoveredByContract, bytes);
    }
}
