package org.geraniumreach.node;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.gateway.adapter.HolderRow;
import org.geraniumreach.gateway.crash.CrashGuard;
import org.geraniumreach.gateway.quota.ShareRow;
import org.geraniumreach.gateway.store.LeaseRenewer;
import org.geraniumreach.gateway.stream.VersionRow;
import org.geraniumreach.gateway.testing.FakeTargets;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

/** Parses rows of the entries' table that another writer may have written. */
class FleetRowsTest {

    private static final List<String> PARTS = List.of(
            "entry-0",
            "",
            " ",
            "\n",
            "%",
            "%zz",
            "127.0.0.1",
            "1.1.1.1.1.1",
            "0",
            "-1",
            "65536",
            "4294967302",
            "1e999",
            "NaN",
            "9".repeat(30),
            "-" + "9".repeat(18),
            "released ",
            "v1",
            "\u00e9",
            "odd/name",
            "AAAA",
            "=");

    /** Guards against a row that ends the reading of its table. */
    @Property(tries = 5000)
    void anyTextIsParsedOrUnreadable(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder();
        for (int part = random.nextInt(6); part >= 0; part--) {
            text.append(PARTS.get(random.nextInt(PARTS.size()))).append(random.nextBoolean() ? " " : "");
        }
        String value = text.toString();
        EntryRow.parse(value)
                .ifPresent(row -> assertThat(row.linkAddress().isUnresolved()).isFalse());
        CapacityRow.parse(value).ifPresent(cores -> assertThat(cores).isPositive());
        ShareRow.parse(value).ifPresent(row -> assertThat(row.freeParts()).isNotNegative());
        assertThatCode(() -> {
                    HolderRow.parse(value);
                    VersionRow.parse(value);
                    LeaseRenewer.releasedIncarnation(value);
                    suspectRows().applyRow("suspects/odd", Optional.of(row(value)));
                })
                .doesNotThrowAnyException();
    }

    private static Row row(String value) {
        return new Row(RowKey.of("fleet", "suspects/odd"), 1, value);
    }

    private static SuspectRows suspectRows() {
        VirtualTime time = new VirtualTime();
        CrashGuard guard = new CrashGuard(new FakeTargets(), time, time, () -> 0, (event, id, fields) -> {});
        return new SuspectRows(guard, new SuspectMessages(time, (event, id, fields) -> {}), System::currentTimeMillis);
    }
}
