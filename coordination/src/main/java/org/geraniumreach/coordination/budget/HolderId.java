package org.geraniumreach.coordination.budget;

import java.util.Objects;

import org.geraniumreach.model.InstanceId;

/**
 * One start of an entry, which holds shares.
 *
 * <p>The address tells two processes of one name apart: only one process at a time can have it bound. Immutable and safe for
 * use by several threads.
 *
 * @param instance the entry's name on the list
 * @param address its link address on the list
 * @param incarnation the number of its start
 */
public record HolderId(InstanceId instance, String address, long incarnation) {

    public HolderId {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(address, "address");
    }

    /**
     * Obtains what the list shows of the holder.
     *
     * @return name and address, not null
     */
    public ListedHolder toListedHolder() {
        return new ListedHolder(instance, address);
    }

    /**
     * An entry as the list shows it.
     *
     * @param instance its name
     * @param address its link address
     */
    public record ListedHolder(InstanceId instance, String address) {

        public ListedHolder {
            Objects.requireNonNull(instance, "instance");
            Objects.requireNonNull(address, "address");
        }
    }
}
