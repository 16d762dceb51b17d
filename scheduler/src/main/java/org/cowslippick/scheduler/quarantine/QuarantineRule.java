package org.cowslippick.scheduler.quarantine;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ListMultimap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which contents are quarantined: those suspected of crashes on {@value #MINIMUM_OCCASIONS} occasions. Of
 * several such contents in the same records, the most specific one is taken, because the parts of a prompt that it
 * shares with sound requests have been in the same crashes. Further contents must explain crashes that those taken do
 * not.
 */
final class QuarantineRule {

    /** Leaves two crashes until the fifth for records that were lost or attributed wrongly. */
    static final int MINIMUM_OCCASIONS = 3;

    /**
     * Crashes within this time are one occasion: endpoints that fail together for another reason make all that they
     * were running suspect.
     */
    static final Duration COINCIDENCE = Duration.ofMillis(300);

    /** Instances notice the same crash at different times. An endpoint takes longer to start again. */
    static final Duration SAME_CRASH = Duration.ofSeconds(3);

    private QuarantineRule() {}

    /** Returns the quarantined contents of one service. */
    static ImmutableSet<String> quarantined(Collection<CrashRecord> records) {
        List<CrashRecord> unexplained = new ArrayList<>(records);
        unexplained.sort(Comparator.comparingLong(CrashRecord::atNanos));
        Set<String> quarantined = new LinkedHashSet<>();
        Optional<String> next = mostSpecific(unexplained);
        while (next.isPresent()) {
            String content = next.get();
            quarantined.add(content);
            unexplained.removeAll(explained(unexplained, content));
            next = mostSpecific(unexplained);
        }
        return ImmutableSet.copyOf(quarantined);
    }

    /** The records of all instances of the crashes that the content explains. */
    private static ImmutableSet<CrashRecord> explained(List<CrashRecord> records, String content) {
        ImmutableList<CrashRecord> direct = records.stream()
                .filter(record -> record.suspects().contains(content))
                .collect(ImmutableList.toImmutableList());
        return records.stream()
                .filter(record -> direct.stream().anyMatch(other -> isSameCrash(record, other)))
                .collect(ImmutableSet.toImmutableSet());
    }

    private static Optional<String> mostSpecific(List<CrashRecord> records) {
        ListMultimap<String, CrashRecord> recordsByContent = ArrayListMultimap.create();
        Map<String, Integer> positions = new HashMap<>();
        for (CrashRecord record : records) {
            int position = 0;
            for (String content : record.suspects()) {
                recordsByContent.put(content, record);
                positions.merge(content, position, Math::max);
                position++;
            }
        }
        return recordsByContent.keySet().stream()
                .filter(content -> occasions(recordsByContent.get(content)) >= MINIMUM_OCCASIONS)
                .max(Comparator.<String>comparingInt(positions::get).thenComparing(Comparator.naturalOrder()));
    }

    /** Counts the occasions of records in the order of time. */
    private static int occasions(List<CrashRecord> records) {
        if (records.size() < MINIMUM_OCCASIONS) {
            return records.size();
        }
        List<CrashRecord> first = new ArrayList<>();
        for (CrashRecord record : records) {
            boolean isKnown = first.stream().anyMatch(other -> isSameCrash(record, other));
            boolean isCoincident = !first.isEmpty()
                    && record.atNanos() - first.get(first.size() - 1).atNanos() < COINCIDENCE.toNanos();
            if (!isKnown && !isCoincident) {
                first.add(record);
            }
        }
        return first.size();
    }

    private static boolean isSameCrash(CrashRecord one, CrashRecord other) {
        return one.endpoint().equals(other.endpoint())
                && Math.abs(one.atNanos() - other.atNanos()) < SAME_CRASH.toNanos();
    }
}
