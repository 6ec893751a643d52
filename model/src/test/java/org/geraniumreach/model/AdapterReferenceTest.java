package org.geraniumreach.model;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class AdapterReferenceTest {

    @ParameterizedTest
    @ValueSource(strings = {"", "a", "@", "a@", "@1", "a@1@2", "a b@1", "a@1/../x", "é@1"})
    void parseReturnsEmptyForInvalidReference(String text) {
        assertThat(AdapterReference.parse(text)).isEmpty();
    }

    @Property(seed = "1")
    void parsedReferencePrintsItsInput(@ForAll String text) {
        AdapterReference.parse(text)
                .ifPresent(reference -> assertThat(reference).hasToString(text));
    }
}
