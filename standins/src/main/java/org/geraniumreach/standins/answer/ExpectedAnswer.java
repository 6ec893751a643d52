package org.geraniumreach.standins.answer;

import org.geraniumreach.model.AdapterReference;

/**
 * The answer that a version of an adapter must generate for a prompt.
 *
 * <p>Each token depends only on the adapter, version, prompt and token index, so a check detects a token that is
 * missing, duplicated, out of order, or from another adapter, version or prompt. One answer in four has a natural
 * length, which may be below the maximum number of tokens. Immutable and safe for use by several threads.
 */
public final class ExpectedAnswer {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long SEED_INCREMENT = 0x9e3779b97f4a7c15L;
    private static final String CONSONANTS = "bdfgklmnprstvwxz";
    private static final String VOWELS = "aeiou";
    private static final int SYLLABLES_PER_TOKEN = 3;
    private static final int MINIMUM_STOP_LENGTH = 4;
    private static final int STOP_LENGTH_COUNT = 60;
    private static final int CHARACTERS_PER_TOKEN = 4;

    private final long seed;

    private ExpectedAnswer(long seed) {
        this.seed = seed;
    }

    /**
     * Computes the answer to a prompt.
     *
     * @param adapter the adapter and version, not null
     * @param prompt the prompt, not null
     * @return the answer, not null
     */
    public static ExpectedAnswer of(AdapterReference adapter, String prompt) {
        long hash = hash(FNV_OFFSET, adapter.adapter());
        hash = hash(hash, "@");
        hash = hash(hash, adapter.version());
        hash = hash(hash, "\n");
        return new ExpectedAnswer(mix(hash(hash, prompt)));
    }

    /**
     * Counts the tokens of a prompt as the stand-in engine does.
     *
     * @param prompt the prompt, not null
     * @return the number of tokens, at least 1
     */
    public static int promptTokens(String prompt) {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    /**
     * Returns a token.
     *
     * @param index the index of the token, from 0
     * @return the text of the token, one word and a space
     */
    public String token(long index) {
        long bits = mix(seed + (index + 1) * SEED_INCREMENT) >>> 1;
        StringBuilder word = new StringBuilder(2 * SYLLABLES_PER_TOKEN + 1);
        for (int syllable = 0; syllable < SYLLABLES_PER_TOKEN; syllable++) {
            word.append(CONSONANTS.charAt((int) (bits % CONSONANTS.length())));
            bits /= CONSONANTS.length();
            word.append(VOWELS.charAt((int) (bits % VOWELS.length())));
            bits /= VOWELS.length();
        }
        return word.append(' ').toString();
    }

    /**
     * Returns the number of tokens in the answer.
     *
     * @param maximumTokens the maximum number of tokens
     * @return the number
     */
    public int length(int maximumTokens) {
        if ((seed & 3) != 0) {
            return maximumTokens;
        }
        int stopLength = MINIMUM_STOP_LENGTH + (int) ((seed >>> 2) % STOP_LENGTH_COUNT);
        return Math.min(maximumTokens, stopLength);
    }

    /**
     * Returns the complete text.
     *
     * @param maximumTokens the maximum number of tokens
     * @return the text, not null
     */
    public String text(int maximumTokens) {
        StringBuilder text = new StringBuilder();
        int length = length(maximumTokens);
        for (int index = 0; index < length; index++) {
            text.append(token(index));
        }
        return text.toString();
    }

    /**
     * Returns a digest of the adapter, version and prompt.
     *
     * @return the digest in hexadecimal, not null
     */
    public String digest() {
        return Long.toHexString(seed);
    }

    private static long hash(long start, String text) {
        long hash = start;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * FNV_PRIME;
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
