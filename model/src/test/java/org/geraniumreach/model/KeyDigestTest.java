package org.geraniumreach.model;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class KeyDigestTest {

    @Test
    void digestRoundTripsThroughTextAndBytes() {
        KeyDigest digest = KeyDigest.ofSecret("secret");
        assertThat(KeyDigest.ofHexadecimal(digest.toHexadecimal())).isEqualTo(digest);
        assertThat(KeyDigest.ofBytes(digest.toBytes())).isEqualTo(digest);
    }

    @Test
    void toStringHidesDigest() {
        assertThat(KeyDigest.ofSecret("secret").toString()).isEqualTo("KeyDigest[hidden]");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "ab", "ZZ"})
    void invalidDigestIsRefusedWithoutRepeatingIt(String text) {
        assertThatThrownBy(() -> KeyDigest.ofHexadecimal(text))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("a key digest is 64 lower-case hexadecimal digits");
    }
}
