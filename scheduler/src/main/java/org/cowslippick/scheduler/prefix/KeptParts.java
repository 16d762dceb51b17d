package org.cowslippick.scheduler.prefix;

import com.google.common.collect.ImmutableList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The parts of prompts that one engine is believed to keep, as far as its answers to this queue tell. The engine is
 * assumed to evict the least recently used parts when running requests and kept parts exceed its memory.
 */
public final class KeptParts {

    /**
     * A shorter beginning is not counted. It saves less than predictions err by, and following it made more requests late
     * in a replay than its saving was worth.
     */
    static final long MINIMUM_TOKENS = 512;

    private final KeptPartsBounds bounds;

    /** In the order of the last use, the least recent one first. */
    private final Map<Long, Kept> parts = new LinkedHashMap<>();

    private long tokens;
    private boolean wasForgotten;
    private long forgottenAtNanos;

    private record Kept(int tokens, long usedAtNanos) {}

    public KeptParts(KeptPartsBounds bounds) {
        this.bounds = bounds;
    }

    /** The tokens at the beginning of the prompt that are kept; a part counts only with all parts before it. */
    public long tokens(ImmutableList<PromptPart> prompt, long nowNanos) {
        if (parts.isEmpty() || !bounds.isEnabled()) {
            return 0;
        }
        long found = beginningTokens(prompt, nowNanos);
        return found < MINIMUM_TOKENS ? 0 : found;
    }

    private long beginningTokens(ImmutableList<PromptPart> prompt, long nowNanos) {
        long found = 0;
        for (PromptPart part : prompt) {
            Kept kept = parts.get(part.id());
            if (kept == null || bounds.isOutdated(kept.usedAtNanos(), nowNanos)) {
                return found;
            }
            found += Math.min(part.tokens(), kept.tokens());
        }
        return found;
    }

    /** Records that a prompt was sent to the engine, which uses those of its parts that it keeps. */
    public void recordUse(ImmutableList<PromptPart> prompt, long nowNanos) {
        if (!parts.isEmpty()) {
            prompt.reverse().stream()
                    .filter(part -> parts.containsKey(part.id()))
                    .forEach(part -> put(part, nowNanos));
        }
    }

    /**
     * Records that the engine has read a prompt.
     *
     * @param sentAtNanos when it was sent; what was sent before the last loss of the engine's memory is ignored
     */
    public void recordRead(ImmutableList<PromptPart> prompt, long sentAtNanos, long nowNanos) {
        if (bounds.isEnabled() && !(wasForgotten && sentAtNanos - forgottenAtNanos <= 0)) {
            // In reverse, so that a part is evicted before those that it needs.
            prompt.reverse().forEach(part -> put(part, nowNanos));
        }
    }

    /** Evicts parts that have no room beside the running requests, and those that are outdated. */
    public void evict(long runningTokens, long nowNanos) {
        long room = bounds.memoryTokens() - runningTokens;
        Iterator<Kept> eldest = parts.values().iterator();
        while (eldest.hasNext()) {
            Kept kept = eldest.next();
            if (parts.size() <= bounds.partsPerEngine()
                    && tokens <= room
                    && !bounds.isOutdated(kept.usedAtNanos(), nowNanos)) {
                return;
            }
            eldest.remove();
            tokens -= kept.tokens();
        }
    }

    /** Records that the engine may have lost its memory. */
    public void forget(long nowNanos) {
        parts.clear();
        tokens = 0;
        wasForgotten = true;
        forgottenAtNanos = nowNanos;
    }

    /** The tokens of all parts that are believed to be kept. */
    long totalTokens() {
        return tokens;
    }

    /** The number of parts that are believed to be kept. */
    public int size() {
        return parts.size();
    }

    private void put(PromptPart part, long nowNanos) {
        Kept former = parts.remove(part.id());
        tokens += part.tokens() - (former == null ? 0 : former.tokens());
        parts.put(part.id(), new Kept(part.tokens(), nowNanos));
    }
}
