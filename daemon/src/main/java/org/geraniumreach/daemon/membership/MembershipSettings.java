package org.geraniumreach.daemon.membership;

import java.time.Duration;

import org.geraniumreach.coordination.membership.LinkSelector;
import org.geraniumreach.daemon.settings.Setting;

/**
 * Settings of the membership, which must be equal at all instances of a fleet.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param readInterval the interval between reads of the instance list
 * @param fullMeshEntries the number of entries up to which all entries are linked with each other
 * @param rings the number of rings by which entries select links above that number
 * @param fullMeshCompanions the number of companions up to which every entry is linked with all of them
 * @param entriesOfCompanion the number of entries linked with each companion above that number
 */
public record MembershipSettings(
        @Setting(value = "1s", least = "50ms", greatest = "1m", about = "How often the instance list is read.")
                Duration readInterval,
        @Setting(value = "16", least = "2", greatest = "1000", about = "Up to how many entries all link with all.")
                int fullMeshEntries,
        @Setting(
                        value = "3",
                        least = "2",
                        greatest = "16",
                        about = "On how many rings entries choose links beyond that.")
                int rings,
        @Setting(
                        value = "64",
                        least = "1",
                        greatest = "10000",
                        about = "Up to how many companions every entry links with all of them.")
                int fullMeshCompanions,
        @Setting(
                        value = "8",
                        least = "2",
                        greatest = "1000",
                        about = "How many entries link with each companion beyond that.")
                int entriesOfCompanion) {

    LinkSelector linkSelector() {
        return new LinkSelector(fullMeshEntries, rings, fullMeshCompanions, entriesOfCompanion);
    }
}
