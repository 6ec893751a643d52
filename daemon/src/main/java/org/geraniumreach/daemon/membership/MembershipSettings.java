package org.geraniumreach.daemon.membership;

import java.time.Duration;

import org.geraniumreach.coordination.membership.LinkSelector;
import org.geraniumreach.daemon.settings.Setting;

/**
 * Settings of the membership; all instances of a fleet must have the same.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param readInterval how often the list is read
 * @param fullMeshEntries up to how many entries all link with all
 * @param rings the number of rings on which entries choose links beyond that
 * @param fullMeshCompanions up to how many companions every entry links with all
 * @param entriesOfCompanion how many entries link with each companion beyond that
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
