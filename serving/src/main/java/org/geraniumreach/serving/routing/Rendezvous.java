package org.geraniumreach.serving.routing;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;
import org.geraniumreach.model.AdapterReference;

/**
 * Rendezvous hashing: each key ranks all targets by a hash of key and target. Processes that know the same targets
 * compute the same order, and removing a target moves only the keys that ranked it first.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Rendezvous {

    private static final int ADAPTER_FACTOR = 31;

    private Rendezvous() {}

    /**
     * Hashes the name of a key or member.
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
     * Finds the first targets in a key's order.
     *
     * @param keyHash the key's hash
     * @param members the targets to rank
     * @param count the maximum number of targets to return
     * @return the targets, highest score first, at most {@code count}
     */
    static TrackedTarget[] topRanked(int keyHash, TrackedTarget[] members, int count) {
        int size = Math.min(count, members.length);
        TrackedTarget[] ranked = new TrackedTarget[size];
        int[] scores = new int[size];
        int filled = 0;
        for (TrackedTarget member : members) {
            int score = score(keyHash, member.hash());
            if (filled == size && !precedes(score, member, scores[filled - 1], ranked[filled - 1])) {
                continue;
            }
            int position = filled < size ? filled++ : filled - 1;
            while (position > 0 && precedes(score, member, scores[position - 1], ranked[position - 1])) {
                scores[position] = scores[position - 1];
                ranked[position] = ranked[position - 1];
                position--;
            }
            scores[position] = score;
            ranked[position] = member;
        }
        return ranked;
    }

    /**
     * Computes a member's score for a key. The highest score is the first choice; ties are broken by the members'
     * names.
     *
     * @param keyHash the key's hash
     * @param memberHash the member's hash
     * @return the score
     */
    public static int score(int keyHash, int memberHash) {
        return MurmurHash3.hash32(keyHash, memberHash);
    }

    private static boolean precedes(int score, TrackedTarget member, int otherScore, TrackedTarget other) {
        if (score != otherScore) {
            return score > otherScore;
        }
        return member.target().compareTo(other.target()) < 0;
    }
}
