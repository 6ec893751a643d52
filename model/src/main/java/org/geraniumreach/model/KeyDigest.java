package org.geraniumreach.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Objects;
import java.util.regex.Pattern;

import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * The SHA-256 digest of a caller's key or an operator's credential.
 *
 * <p>The command line generates keys from 256 random bits, so an unkeyed digest cannot be reversed by guessing. Invariants:
 * the digest has 32 bytes; {@code equals} takes constant time; {@code toString} does not reveal the digest, in case it is
 * logged by mistake. Immutable and safe for use by several threads.
 */
public final class KeyDigest {

    private static final Pattern HEXADECIMAL = Pattern.compile("[0-9a-f]{64}");
    private static final int LENGTH_BYTES = 32;

    private final byte[] bytes;

    private KeyDigest(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Computes the digest of a secret.
     *
     * @param secret the secret, not null
     * @return the digest, not null
     */
    public static KeyDigest ofSecret(String secret) {
        return new KeyDigest(DigestUtils.sha256(secret.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Parses a digest from hexadecimal text.
     *
     * @param text 64 lower-case hexadecimal digits, not null
     * @return the digest, not null
     * @throws IllegalArgumentException if the text has another form; the message does not contain the text
     */
    public static KeyDigest ofHexadecimal(String text) {
        Objects.requireNonNull(text, "text");
        if (!HEXADECIMAL.matcher(text).matches()) {
            throw new IllegalArgumentException("a key digest is 64 lower-case hexadecimal digits");
        }
        byte[] bytes = new byte[LENGTH_BYTES];
        for (int index = 0; index < LENGTH_BYTES; index++) {
            bytes[index] = (byte) Integer.parseInt(text.substring(2 * index, 2 * index + 2), 16);
        }
        return new KeyDigest(bytes);
    }

    /**
     * Creates a digest from its bytes.
     *
     * @param bytes 32 bytes, not null
     * @return the digest, not null
     * @throws IllegalArgumentException if the array does not have 32 bytes
     */
    public static KeyDigest ofBytes(byte[] bytes) {
        if (bytes.length != LENGTH_BYTES) {
            throw new IllegalArgumentException("a key digest has 32 bytes, not " + bytes.length);
        }
        return new KeyDigest(bytes.clone());
    }

    public byte[] toBytes() {
        return bytes.clone();
    }

    public String toHexadecimal() {
        return Hex.encodeHexString(bytes);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest that && MessageDigest.isEqual(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "KeyDigest[hidden]";
    }
}
