package org.geraniumreach.serving.routing;

import java.util.Objects;

import org.geraniumreach.model.Names;
import org.geraniumreach.model.ServiceName;
import org.geraniumreach.model.record.Target;

/**
 * The base model or plain service that a target provides and a request needs.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind the kind of offering
 * @param name the name of the base model or service
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
     * Obtains the offering of a target.
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
