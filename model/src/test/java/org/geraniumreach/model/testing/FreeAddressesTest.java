package org.geraniumreach.model.testing;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FreeAddressesTest {

    private static final int ADDRESSES = 600;

    /** Prints the ports that a process of its own is given. */
    public static void main(String[] arguments) throws IOException {
        for (int number = 0; number < ADDRESSES; number++) {
            System.out.println(FreeAddresses.next().getPort());
        }
    }

    /** Guards against two test runs beside each other whose callers reach the targets of the other. */
    @Test
    void processesBesideEachOtherAreGivenDifferentAddresses() throws Exception {
        List<String> own = IntStream.range(0, ADDRESSES)
                .mapToObj(number -> String.valueOf(nextPort()))
                .toList();
        Process other = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        FreeAddressesTest.class.getName())
                .start();
        List<String> others = new String(other.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .lines()
                .toList();
        assertThat(other.waitFor()).isZero();
        assertThat(others).hasSize(ADDRESSES).doesNotContainAnyElementsOf(own).doesNotHaveDuplicates();
    }

    private static int nextPort() {
        try {
            return FreeAddresses.next().getPort();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }
}
