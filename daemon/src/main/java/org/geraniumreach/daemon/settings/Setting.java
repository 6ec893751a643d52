package org.geraniumreach.daemon.settings;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Describes one component of a settings record.
 *
 * <p>Components may be of type {@code int}, {@code long}, {@code double}, {@code boolean}, {@code String}, {@link
 * java.time.Duration} (written {@code 250ms}, {@code 2s}, {@code 5m}, {@code 1h}), {@link DataSize} (written {@code
 * 16KiB}, {@code 4MiB}), {@link java.net.InetSocketAddress} (written {@code 127.0.0.1:8080}, numeric IP addresses
 * only), an enum (written in lower case with hyphens), {@link java.util.Optional} of one of these, a {@link
 * java.util.List} of one of these, or another settings record, which needs no annotation.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Setting {

    /**
     * The default, written as in YAML; empty if the setting is required.
     *
     * @return the default, or empty
     */
    String value() default "";

    /**
     * The minimum, written as in YAML; empty for no bound.
     *
     * @return the bound, or empty
     */
    String least() default "";

    /**
     * The maximum, written as in YAML; empty for no bound.
     *
     * @return the bound, or empty
     */
    String greatest() default "";

    /**
     * The purpose of the setting, in one sentence.
     *
     * @return the sentence
     */
    String about();

    /**
     * Whether the value is a secret, which is never printed.
     *
     * @return true if it is
     */
    boolean secret() default false;
}
