package org.geraniumreach.serving.routing;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;
import org.geraniumreach.model.AdapterReference;

/**
 * Rendezvous hashing: each key ranks all targets by a hash of both, so that whoever knows the same targets finds the same
 * order, and the loss of a target moves only the keys that had it first.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Rendezvous {

    private static final int ADAPTER_FACTOR = 31;

    private Rendezvous() {}

    /**
     * Hashes a name, for an order of keys and members.
     *
     * @param text the name, not null
     * @return the hash
     */
    public static int hash(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(bytes, 0, bytes.length, 0);
    }

    static int hash(AdapterReference adapter) {
        return ADAPTER_FACTOR * hash(adapter.adapter()) + hash(adapter.version());
    }

    /**
     * Finds the first targets of a key's order.
     *
     * @param key the key's hash
     * @param members all targets
     * @param count how many are wanted
     * @return the first targets, best first, at most {@code count}
     */
    static TrackedTarget[] topRanked(int key, TrackedTarget[] members, int count) {
        int wanted = Math.min(count, members.length);
        TrackedTarget[] best = new TrackedTarget[wanted];
        int[] scores = new int[wanted];
        int filled = 0;
        for (TrackedTarget member : members) {
            int score = score(key, member.hash());
            if (filled == wanted && !precedes(score, member, scores[filled - 1], best[filled - 1])) {
                continue;
            }
            int place = filled < wanted ? filled++ : filled - 1;
            while (place > 0 && precedes(score, member, scores[place - 1], best[place - 1])) {
                scores[place] = scores[place - 1];
                best[place] = best[place - 1];
                place--;
            }
            scores[place] = score;
            best[place] = member;
        }
        return best;
    }

    /**
     * Scores a member for a key; the highest score is the first choice, and equal ones go by the members' names.
     *
     * @param key the key's hash
     * @param member the member's hash
     * @return the score
     */
    public static int score(int key, int member) {
        return MurmurHash3.hash32(key, member);
    }

    private static boolean precedes(int score, TrackedTarget member, int otherScore, TrackedTarget other) {
        if (score != otherScore) {
            return score > otherScore;
        }
        return member.target().compareTo(other.target()) < 0;
    }
}
