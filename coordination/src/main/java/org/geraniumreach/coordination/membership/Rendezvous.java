package org.geraniumreach.coordination.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
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
        return order(subject, instances).stream().limit(count).toList();
    }

    /**
     * Gets all instances in the order that a subject gives them.
     *
     * @param subject what they are ordered for, not null
     * @param instances the instances, not null
     * @return the instances, first choice first, not null
     */
    public static List<InstanceId> order(String subject, Collection<InstanceId> instances) {
        return instances.stream()
                .map(instance -> new WeightedInstance(weight(subject, instance), instance))
                .sorted()
                .map(WeightedInstance::instance)
                .toList();
    }

    /**
     * Queries whether an instance is among the first in the order that a subject gives.
     *
     * <p>An entry asks this for each of hundreds of companions at each reading of the list. Ordering all entries for each
     * took most of a core at 340 entries and 760 companions; counting those before this one stops early.
     *
     * @param subject what they are ordered for, not null
     * @param instances the instances, not null
     * @param count how many are chosen
     * @param self the instance asked for, not null
     * @return true if fewer than {@code count} others come before it
     */
    public static boolean isChosen(String subject, Collection<InstanceId> instances, int count, InstanceId self) {
        WeightedInstance own = new WeightedInstance(weight(subject, self), self);
        int before = 0;
        for (InstanceId instance : instances) {
            if (new WeightedInstance(weight(subject, instance), instance).compareTo(own) < 0) {
                before++;
            }
            if (before >= count) {
                return false;
            }
        }
        return true;
    }

    /** An instance with its weight, which is worked out once and not at each comparison. */
    private record WeightedInstance(long weight, InstanceId instance) implements Comparable<WeightedInstance> {

        @Override
        public int compareTo(WeightedInstance other) {
            int order = Long.compare(weight, other.weight);
            return order != 0 ? order : instance.compareTo(other.instance);
        }
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
