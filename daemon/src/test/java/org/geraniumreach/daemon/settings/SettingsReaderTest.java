package org.geraniumreach.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class SettingsReaderTest {

    enum Colour {
        DEEP_RED,
        BLUE
    }

    record Inner(
            @Setting(value = "2s", least = "10ms", greatest = "1m", about = "A time.") Duration pause,
            @Setting(value = "16KiB", greatest = "1MiB", about = "A size.") DataSize buffer,
            @Setting(value = "deep-red", about = "A colour.") Colour colour) {}

    record Outer(
            @Setting(about = "An address.") InetSocketAddress listen,
            @Setting(value = "7", least = "1", greatest = "9", about = "A number.") int count,
            @Setting(about = "Addresses.") List<InetSocketAddress> peers,
            @Setting(about = "A word.", secret = true) Optional<String> word,
            Inner inner) {}

    @Test
    void readUsesDefaultsForMissingSettings() throws SettingsException {
        Outer outer = SettingsReader.read(Outer.class, "listen: 127.0.0.1:80");
        assertThat(outer.count()).isEqualTo(7);
        assertThat(outer.peers()).isEmpty();
        assertThat(outer.word()).isEmpty();
        assertThat(outer.inner()).isEqualTo(new Inner(Duration.ofSeconds(2), new DataSize(16_384), Colour.DEEP_RED));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "inner: {pause: 5}|inner.pause: '5' is not a time with its unit",
                "inner: {pause: 5 s}|inner.pause: '5 s' is not a time with its unit",
                "inner: {pause: 5ms}|inner.pause: '5ms' is not from 10ms to 1m",
                "inner: {pause: [1]}|inner.pause: must be a time",
                "inner: 3|inner: must hold names and values",
                "inner: {buffer: 4KB}|inner.buffer: '4KB' is not a size with its unit",
                "inner: {buffer: 4MiB}|inner.buffer: '4MiB' is not at most 1MiB",
                "inner: {colour: green}|inner.colour: 'green' is not one of [blue, deep-red]",
                "count: 10|count: '10' is not from 1 to 9",
                "count: many|count: 'many' is not a whole number",
                "count: null|count: must be a whole number",
                "cuont: 3|cuont: unknown; known are [count, inner, listen, peers, word]",
                "peers: [localhost:1]|peers[0]: 'localhost:1' is not an IP number and a port",
                "peers: 3|peers: must be a list",
                "word: [secret]|word: must be text",
                "inner: {pause: 999999999999d}|inner.pause: '999999999999d' is not",
            })
    void readReportsTheMistakeWithItsPath(String line, String expected) {
        SettingsException refused = catchThrowableOfType(
                SettingsException.class, () -> SettingsReader.read(Outer.class, "listen: 127.0.0.1:80\n" + line));
        assertThat(refused.mistakes()).hasSize(1);
        assertThat(refused.getMessage()).startsWith(expected);
    }

    @Test
    void readReportsAllMistakesTogether() {
        SettingsException refused = catchThrowableOfType(
                SettingsException.class,
                () -> SettingsReader.read(Outer.class, "count: 0\ninner: {pause: 1, colour: x}\nother: 1"));
        assertThat(refused.mistakes())
                .extracting(SettingsException.Mistake::path)
                .containsExactlyInAnyOrder("listen", "count", "inner.pause", "inner.colour", "other");
    }

    record Range(
            @Setting(value = "1", about = "The least.") int least,
            @Setting(value = "9", about = "The greatest.") int greatest)
            implements ConsistentSettings {

        @Override
        public void requireConsistent() {
            if (least > greatest) {
                throw new IllegalArgumentException("least " + least + " is above greatest " + greatest);
            }
        }
    }

    record WithRange(Range range) {}

    @Test
    void readReportsThePathOfInconsistentSettings() {
        SettingsException refused = catchThrowableOfType(
                SettingsException.class, () -> SettingsReader.read(WithRange.class, "range: {least: 10}"));
        assertThat(refused).hasMessage("range: least 10 is above greatest 9");
    }

    @Test
    void readRefusesDuplicateNames() {
        SettingsException refused = catchThrowableOfType(
                SettingsException.class,
                () -> SettingsReader.read(Outer.class, "listen: 127.0.0.1:80\ncount: 1\ncount: 2"));
        assertThat(refused.getMessage()).contains("Duplicate field 'count'");
    }

    @Property(seed = "2")
    void readThrowsOnlySettingsExceptionForAnyText(@ForAll String text) {
        try {
            SettingsReader.read(Outer.class, text);
        } catch (SettingsException refused) {
            assertThat(refused.mistakes()).isNotEmpty();
        }
    }

    @Test
    void printedSettingsAreReadBackAsTheDefaults() throws SettingsException {
        String printed = SettingsPrinter.print(Outer.class) + "\nlisten: 127.0.0.1:80";
        assertThat(SettingsReader.read(Outer.class, printed))
                .isEqualTo(SettingsReader.read(Outer.class, "listen: 127.0.0.1:80"));
    }
}
