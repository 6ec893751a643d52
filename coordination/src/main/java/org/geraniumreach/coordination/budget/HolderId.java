package org.geraniumreach.coordination.budget;

import java.util.Objects;

import org.geraniumreach.model.InstanceId;

/**
 * Identifies one incarnation of an entry as a holder of shares.
 *
 * <p>The address distinguishes two processes with the same name, since only one process at a time can be bound to it.
 * Immutable and safe for use by several threads.
 *
 * @param instance the entry's name on the instance list
 * @param address its link address on the instance list
 * @param incarnation the number of this start of the process
 */
public record HolderId(InstanceId instance, String address, long incarnation) {

    public HolderId {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(address, "address");
    }

    /**
     * Obtains the holder as the instance list shows it.
     *
     * @return the name and address, not null
     */
    public ListedHolder toListedHolder() {
        return new ListedHolder(instance, address);
    }

    /**
     * An entry as the instance list shows it.
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
