package org.geraniumreach.coordination.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;
import org.geraniumreach.model.InstanceId;

/**
 * Chooses among instances by rendezvous hashing, so that all who know the same instances choose the same ones without
 * talking, and one that comes or goes changes few choices.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Rendezvous {

    private Rendezvous() {}

    /**
     * Gets the first instances in the order that a subject gives them.
     *
     * @param subject what they are chosen for, not null
     * @param instances the instances, not null
     * @param count the greatest number to choose
     * @return the instances chosen, first choice first, not null
     */
    public static List<InstanceId> choose(String subject, Collection<InstanceId> instances, int count) {
        return instances.stream()
                .sorted(Comparator.comparingLong((InstanceId instance) -> weight(subject, instance))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(count)
                .toList();
    }

    /**
     * Gets the weight of an instance for a subject; the least is the first choice.
     *
     * @param subject the subject, not null
     * @param instance the instance, not null
     * @return the weight
     */
    public static long weight(String subject, InstanceId instance) {
        byte[] text = (subject + '\n' + instance.value()).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(text)[0];
    }
}
