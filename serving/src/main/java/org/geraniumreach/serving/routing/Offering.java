package org.geraniumreach.serving.routing;

import java.util.Objects;

import org.geraniumreach.model.Names;
import org.geraniumreach.model.ServiceName;
import org.geraniumreach.model.record.Target;

/**
 * What a target offers and a request asks for: a base model, or a plain service.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind whether it is a base model or a plain service
 * @param name its name
 */
public record Offering(Kind kind, String name) {

    public Offering {
        Objects.requireNonNull(kind, "kind");
        Names.requireName("offering", name);
    }

    /** The kinds of offering. */
    public enum Kind {
        BASE_MODEL,
        SERVICE
    }

    /**
     * Obtains the offering of a base model.
     *
     * @param name the base model, not null
     * @return the offering, not null
     */
    public static Offering ofBaseModel(String name) {
        return new Offering(Kind.BASE_MODEL, name);
    }

    /**
     * Obtains the offering of a plain service.
     *
     * @param service the service, not null
     * @return the offering, not null
     */
    public static Offering ofService(ServiceName service) {
        return new Offering(Kind.SERVICE, service.value());
    }

    /**
     * Obtains what a target offers.
     *
     * @param target the target's record, not null
     * @return the offering, not null
     */
    public static Offering of(Target target) {
        return target.baseModel()
                .map(Offering::ofBaseModel)
                .orElseGet(() -> ofService(target.service().orElseThrow()));
    }
}
