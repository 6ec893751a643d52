package org.geraniumreach.coordination.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;
import org.geraniumreach.model.InstanceId;

/**
 * Selects instances by rendezvous hashing, so that processes that know the same instances make the same selection without
 * communicating, and an added or removed instance changes few selections.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class RendezvousHashing {

    private RendezvousHashing() {}

    /**
     * Selects the first instances in the order for a hash key.
     *
     * @param hashKey the hash key, not null
     * @param instances the instances, not null
     * @param count the maximum number to select
     * @return the selected instances, first choice first, not null
     */
    public static List<InstanceId> choose(String hashKey, Collection<InstanceId> instances, int count) {
        return order(hashKey, instances).stream().limit(count).toList();
    }

    /**
     * Orders instances by their weight for a hash key.
     *
     * @param hashKey the hash key, not null
     * @param instances the instances, not null
     * @return the instances, first choice first, not null
     */
    public static List<InstanceId> order(String hashKey, Collection<InstanceId> instances) {
        return instances.stream()
                .map(instance -> new WeightedInstance(weight(hashKey, instance), instance))
                .sorted()
                .map(WeightedInstance::instance)
                .toList();
    }

    /**
     * Checks whether an instance is among the first in the order for a hash key.
     *
     * <p>An entry calls this for each of hundreds of companions at each reading of the list. Sorting all entries each time
     * takes most of a core with 340 entries and 760 companions; counting the preceding instances can stop early.
     *
     * @param hashKey the hash key, not null
     * @param instances the instances, not null
     * @param count the number of instances that are selected
     * @param self the instance to look for, not null
     * @return true if fewer than {@code count} others precede it
     */
    public static boolean isChosen(String hashKey, Collection<InstanceId> instances, int count, InstanceId self) {
        WeightedInstance own = new WeightedInstance(weight(hashKey, self), self);
        int preceding = 0;
        for (InstanceId instance : instances) {
            if (new WeightedInstance(weight(hashKey, instance), instance).compareTo(own) < 0) {
                preceding++;
            }
            if (preceding >= count) {
                return false;
            }
        }
        return true;
    }

    /** An instance with its weight, which is computed once instead of at each comparison. */
    private record WeightedInstance(long weight, InstanceId instance) implements Comparable<WeightedInstance> {

        @Override
        public int compareTo(WeightedInstance other) {
            int order = Long.compare(weight, other.weight);
            return order != 0 ? order : instance.compareTo(other.instance);
        }
    }

    /**
     * Computes the weight of an instance for a hash key; the instance with the least weight is the first choice.
     *
     * @param hashKey the hash key, not null
     * @param instance the instance, not null
     * @return the weight
     */
    public static long weight(String hashKey, InstanceId instance) {
        byte[] text = (hashKey + '\n' + instance.value()).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(text)[0];
    }
}
