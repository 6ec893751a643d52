package org.geraniumreach.daemon.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * The textual format of a type of settings values.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param description the allowed values, for messages
 * @param reader parses a value, and throws {@link IllegalArgumentException} if the text is malformed
 */
record ValueFormat(String description, Function<String, Object> reader) {

    private static final Pattern QUANTITY = Pattern.compile("(\\d{1,12})([A-Za-z]+)");
    private static final Pattern IP_AND_PORT =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");
    private static final int GREATEST_PORT = 65_535;

    private static final Map<String, Duration> TIME_UNITS = Map.of(
            "us", Duration.ofNanos(1_000),
            "ms", Duration.ofMillis(1),
            "s", Duration.ofSeconds(1),
            "m", Duration.ofMinutes(1),
            "h", Duration.ofHours(1),
            "d", Duration.ofDays(1));

    private static final Map<String, Long> SIZE_UNITS =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    private static final Map<Class<?>, ValueFormat> FORMATS = Map.of(
            int.class, new ValueFormat("a whole number", Integer::valueOf),
            long.class, new ValueFormat("a whole number", Long::valueOf),
            double.class, new ValueFormat("a number", ValueFormat::number),
            boolean.class, new ValueFormat("true or false", ValueFormat::bool),
            String.class, new ValueFormat("text", text -> text),
            Duration.class, new ValueFormat("a time with its unit (us, ms, s, m, h, d)", ValueFormat::duration),
            DataSize.class, new ValueFormat("a size with its unit (B, KiB, MiB, GiB)", ValueFormat::size),
            InetSocketAddress.class, new ValueFormat("an IP number and a port", ValueFormat::address));

    /**
     * Finds the format of a type.
     *
     * @param type the type, not null
     * @return the format, or empty if values of the type have no single-value format
     */
    static Optional<ValueFormat> of(Class<?> type) {
        if (type.isEnum()) {
            return Optional.of(ofEnum(type));
        }
        return Optional.ofNullable(FORMATS.get(type));
    }

    private static ValueFormat ofEnum(Class<?> type) {
        Map<String, Object> constants = Arrays.stream(type.getEnumConstants())
                .collect(Collectors.toMap(ValueFormat::label, Function.identity()));
        String allowed = "one of " + constants.keySet().stream().sorted().toList();
        return new ValueFormat(
                allowed, text -> Optional.ofNullable(constants.get(text)).orElseThrow(IllegalArgumentException::new));
    }

    /**
     * Gets the text of an enum constant.
     *
     * @param constant the constant, not null
     * @return its name in lower case with hyphens
     */
    static String label(Object constant) {
        return ((Enum<?>) constant).name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static Object number(String text) {
        double value = Double.parseDouble(text);
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(text);
        }
        return value;
    }

    private static Object bool(String text) {
        if (!"true".equals(text) && !"false".equals(text)) {
            throw new IllegalArgumentException(text);
        }
        return Boolean.valueOf(text);
    }

    private static Object duration(String text) {
        Matcher matcher = quantity(text);
        Duration unit =
                Optional.ofNullable(TIME_UNITS.get(matcher.group(2))).orElseThrow(IllegalArgumentException::new);
        return unit.multipliedBy(Long.parseLong(matcher.group(1)));
    }

    private static Object size(String text) {
        Matcher matcher = quantity(text);
        long unit = Optional.ofNullable(SIZE_UNITS.get(matcher.group(2))).orElseThrow(IllegalArgumentException::new);
        return new DataSize(Math.multiplyExact(unit, Long.parseLong(matcher.group(1))));
    }

    private static Matcher quantity(String text) {
        Matcher matcher = QUANTITY.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(text);
        }
        return matcher;
    }

    private static Object address(String text) {
        Matcher matcher = IP_AND_PORT.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(text);
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port > GREATEST_PORT) {
            throw new IllegalArgumentException(text);
        }
        try {
            // The pattern matches numeric addresses only, so this never performs a DNS lookup.
            return new InetSocketAddress(InetAddress.getByName(matcher.group(1)), port);
        } catch (UnknownHostException invalidAddress) {
            throw new IllegalArgumentException(text, invalidAddress);
        }
    }
}
