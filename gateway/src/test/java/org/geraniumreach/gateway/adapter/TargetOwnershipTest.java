package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class TargetOwnershipTest {

    private static final TargetId TARGET = TargetId.of("t");
    private static final List<TargetId> TARGETS = List.of(TARGET);
    private static final List<String> ENTRIES = List.of("one", "two");
    private static final String KEY = "holder/t";
    private static final long INCARNATION = 5;

    private final VirtualTime time = new VirtualTime();
    private final Lease lease = new Lease(time, time::wallMillis);
    private final TargetOwnership holdings = new TargetOwnership("one", INCARNATION, lease, time);

    private void renew() {
        lease.renewed(lease.sending());
    }

    private void held(String node, long incarnation, long version) {
        String text = new HolderRow(node, incarnation).toText();
        holdings.put(KEY, Optional.of(new Row(RowKey.of(TargetOwnership.TABLE, KEY), version, text)));
    }

    private Optional<Transaction> claim() {
        return holdings.claim(TARGETS, ENTRIES, entry -> false);
    }

    @Test
    void anUnheldTargetIsClaimedOnlyIfItsRowIsStillAbsent() {
        renew();
        assertThat(claim().orElseThrow().conditions())
                .containsExactly(new Transaction.Condition(RowKey.of(TargetOwnership.TABLE, KEY), Transaction.ABSENT));
    }

    @Test
    void theRowsVersionIsTheFence() {
        renew();
        held("one", INCARNATION, 41);
        assertThat(holdings.fence(TARGET)).hasValue(41);
    }

    // A target gets orders of two entries in turns if one takes over while the other still believes in its lease. The
    // other stops by itself after the lease; its last order may take the time of a turn to arrive.
    @ParameterizedTest
    @CsvSource({"0, false", "8000, false", "11200, false", "11400, true"})
    void anotherEntrysTargetIsTakenOverOnlyAfterItsLeaseAndATurn(long millis, boolean claimed) {
        held("two", 1, 7);
        holdings.seenLease("two", 3, OptionalLong.empty());
        time.pass(Duration.ofMillis(millis));
        renew();
        assertThat(claim().isPresent()).isEqualTo(claimed);
    }

    // Callers of a failure domain got 429 within their rate for 30 s after an entry had been replaced, since its share
    // lay
    // idle. One that said that it ends needs no such proof; one that is only restarted must find its share again.
    @ParameterizedTest
    @CsvSource({"true, 3900, false", "true, 4100, true", "false, 4100, false", "false, 30100, true"})
    void whatAnEntryHasIsFreeSoonAfterItSaidThatItEnds(boolean released, long millis, boolean ended) {
        holdings.seenLease("two", 3, released ? OptionalLong.of(1) : OptionalLong.empty());
        time.pass(Duration.ofMillis(millis));
        assertThat(holdings.endedFor(Duration.ofSeconds(30)).containsKey("two")).isEqualTo(ended);
    }

    @Test
    void anEntryThatRenewsAfterItSaidThatItEndsKeepsWhatItHas() {
        holdings.seenLease("two", 3, OptionalLong.of(1));
        time.pass(Duration.ofSeconds(2));
        holdings.seenLease("two", 4, OptionalLong.empty());
        time.pass(Duration.ofSeconds(10));
        assertThat(holdings.endedFor(Duration.ofSeconds(30))).isEmpty();
    }

    // A holder that renews at the last moment keeps its target: the taking over requires the lease as it was seen.
    @Test
    void takingOverRequiresThatTheLeaseIsUnchanged() {
        held("two", 1, 7);
        holdings.seenLease("two", 3, OptionalLong.empty());
        time.pass(Duration.ofSeconds(12));
        renew();
        assertThat(claim().orElseThrow().conditions())
                .contains(new Transaction.Condition(RowKey.of(TargetOwnership.LEASES, "two"), 3));
    }

    @Test
    void aRenewedLeaseBeginsAnew() {
        held("two", 1, 7);
        holdings.seenLease("two", 3, OptionalLong.empty());
        time.pass(Duration.ofSeconds(10));
        holdings.seenLease("two", 4, OptionalLong.empty());
        time.pass(Duration.ofSeconds(10));
        renew();
        assertThat(claim()).isEmpty();
    }

    // An entry that was asked to end says so, and its targets need wait for a turn only. A release that a former life
    // of its process wrote, and that the store carries out late, does not end the next life's lease.
    @ParameterizedTest
    @CsvSource({"1, true", "9, false"})
    void aReleaseCountsForTheLifeThatWroteIt(long releasedBy, boolean claimed) {
        held("two", 1, 7);
        holdings.seenLease("two", 3, OptionalLong.of(releasedBy));
        time.pass(Lease.HANDOVER_GAP.plusMillis(100));
        renew();
        assertThat(claim().isPresent()).isEqualTo(claimed);
    }

    @Test
    void aProcessThatComesBackTakesItsTargetsUpAtOnceUnderANewFence() {
        renew();
        held("one", INCARNATION - 1, 7);
        assertThat(holdings.fence(TARGET)).isEmpty();
        assertThat(claim()).isPresent();
    }

    // A frozen holder wakes up and would order on, though another has taken its target over meanwhile. Its steady clock
    // has stood still; the time of day has not.
    @Test
    void aHolderThatWasFrozenOrdersNothingUntilItHasRenewed() {
        renew();
        held("one", INCARNATION, 41);
        time.stepWall(Duration.ofSeconds(6));
        assertThat(holdings.fence(TARGET)).isEmpty();
        renew();
        assertThat(holdings.fence(TARGET)).hasValue(41);
    }

    @Test
    void aHolderWithoutRenewalStops() {
        renew();
        held("one", INCARNATION, 41);
        time.pass(Lease.DURATION);
        assertThat(holdings.fence(TARGET)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"''", "'one'", "'one two'", "'one 1 2'", "' 1'"})
    void anUnreadableRowNamesNoHolder(String text) {
        assertThat(HolderRow.parse(text)).isEmpty();
    }
}
