package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

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
    private static final int MANY_TARGETS = 200;
    private static final int MANY_ENTRIES = 340;

    private final VirtualTime time = new VirtualTime();
    private final Lease lease = new Lease(time, time::wallMillis);
    private final TargetOwnership ownership = new TargetOwnership("one", INCARNATION, lease, time);

    private void renew() {
        renew(0);
    }

    private void renew(long version) {
        lease.onRenewed(lease.startRenewal(), version);
    }

    private void putHolder(String node, long incarnation, long version) {
        String text = new HolderRow(node, incarnation).toText();
        ownership.updateHolder(KEY, Optional.of(new Row(RowKey.of(TargetOwnership.FLEET_TABLE, KEY), version, text)));
    }

    private Optional<Transaction> claim() {
        return ownership.claim(TARGETS, ENTRIES, entry -> false);
    }

    @Test
    void aTargetWithoutOwnerIsClaimedOnlyIfItsRowIsStillAbsent() {
        renew();
        assertThat(claim().orElseThrow().conditions())
                .containsExactly(new Transaction.Condition(
                        RowKey.of(TargetOwnership.FLEET_TABLE, KEY), Transaction.ABSENT_VERSION));
    }

    /** Guards against an event loop that stands still while the owners of many targets are selected among many entries. */
    @Test
    void entriesAreRankedOnceForEachTargetWithoutOwner() {
        AtomicLong ranked = new AtomicLong();
        ownership.setCapacity(entry -> {
            ranked.incrementAndGet();
            return 1;
        });
        renew();
        List<TargetId> targets = IntStream.range(0, MANY_TARGETS)
                .mapToObj(number -> TargetId.of("t" + number))
                .toList();
        List<String> entries = IntStream.range(0, MANY_ENTRIES)
                .mapToObj(number -> number == 0 ? "one" : "entry" + number)
                .toList();
        ownership.claim(targets, entries, entry -> true);
        assertThat(ranked.get()).isLessThanOrEqualTo((long) MANY_TARGETS * MANY_ENTRIES);
    }

    @Test
    void theRowsVersionIsTheFencingToken() {
        renew();
        putHolder("one", INCARNATION, 41);
        assertThat(ownership.fence(TARGET)).hasValue(41);
    }

    // A target would get orders of two entries if one claimed it while the other's lease is still valid. The former
    // owner stops when its lease ends; its last order may take the length of the handover gap to arrive.
    @ParameterizedTest
    @CsvSource({"0, false", "8000, false", "11200, false", "11400, true"})
    void anotherEntrysTargetIsClaimedOnlyAfterItsLeaseAndTheHandoverGap(long millis, boolean claimed) {
        putHolder("two", 1, 7);
        ownership.updateLease("two", 3, OptionalLong.empty());
        time.advance(Duration.ofMillis(millis));
        renew();
        assertThat(claim().isPresent()).isEqualTo(claimed);
    }

    // The unused share of an entry that has been replaced makes callers of its failure domain get 429 within their
    // rate for 30 s. An entry that has released its lease counts as ended much sooner, but a restarted one must
    // keep its share.
    @ParameterizedTest
    @CsvSource({"true, 3900, false", "true, 4100, true", "false, 4100, false", "false, 30100, true"})
    void anEntryThatReleasedItsLeaseCountsAsEndedSoon(boolean released, long millis, boolean ended) {
        ownership.updateLease("two", 3, released ? OptionalLong.of(1) : OptionalLong.empty());
        time.advance(Duration.ofMillis(millis));
        assertThat(ownership.endedEntries(Duration.ofSeconds(30)).containsKey("two"))
                .isEqualTo(ended);
    }

    @Test
    void anEntryThatRenewsItsLeaseAfterReleasingItDoesNotCountAsEnded() {
        ownership.updateLease("two", 3, OptionalLong.of(1));
        time.advance(Duration.ofSeconds(2));
        ownership.updateLease("two", 4, OptionalLong.empty());
        time.advance(Duration.ofSeconds(10));
        assertThat(ownership.endedEntries(Duration.ofSeconds(30))).isEmpty();
    }

    // An owner that renews its lease at the last moment keeps its target.
    @Test
    void aClaimRequiresThatTheLeaseIsUnchanged() {
        putHolder("two", 1, 7);
        ownership.updateLease("two", 3, OptionalLong.empty());
        time.advance(Duration.ofSeconds(12));
        renew();
        assertThat(claim().orElseThrow().conditions())
                .contains(new Transaction.Condition(RowKey.of(TargetOwnership.LEASES_TABLE, "two"), 3));
    }

    @Test
    void aRenewedLeaseRestartsTheWaitingTime() {
        putHolder("two", 1, 7);
        ownership.updateLease("two", 3, OptionalLong.empty());
        time.advance(Duration.ofSeconds(10));
        ownership.updateLease("two", 4, OptionalLong.empty());
        time.advance(Duration.ofSeconds(10));
        renew();
        assertThat(claim()).isEmpty();
    }

    // Targets of an entry that has released its lease can be claimed after the handover gap. A release that the
    // store applies late, written by a former incarnation, does not end the lease of the next one.
    @ParameterizedTest
    @CsvSource({"1, true", "9, false"})
    void aReleaseCountsOnlyForTheIncarnationThatWroteIt(long releasedBy, boolean claimed) {
        putHolder("two", 1, 7);
        ownership.updateLease("two", 3, OptionalLong.of(releasedBy));
        time.advance(Lease.HANDOVER_GAP.plusMillis(100));
        renew();
        assertThat(claim().isPresent()).isEqualTo(claimed);
    }

    @Test
    void aRestartedProcessClaimsItsTargetsAtOnceWithANewFencingToken() {
        renew();
        putHolder("one", INCARNATION - 1, 7);
        assertThat(ownership.fence(TARGET)).isEmpty();
        assertThat(claim()).isPresent();
    }

    // An owner that resumes after a freeze must not send orders, since another may have claimed its target. Its
    // monotonic clock has stopped meanwhile; the time of day has not.
    @Test
    void anOwnerThatWasFrozenHasNoFencingTokenUntilItHasReadTheOwnersAgain() {
        assertNoFenceUntilOwnersAreRead(() -> time.stepWallClock(Duration.ofSeconds(6)));
    }

    @Test
    void anOwnerThatDoesNotRenewLosesItsFencingTokenUntilItHasReadTheOwnersAgain() {
        assertNoFenceUntilOwnersAreRead(() -> time.advance(Lease.DURATION));
    }

    private void assertNoFenceUntilOwnersAreRead(Runnable lapse) {
        AtomicLong tableVersion = new AtomicLong(45);
        ownership.term().setTableVersion(tableVersion::get);
        renew(40);
        putHolder("one", INCARNATION, 41);
        lapse.run();
        assertThat(ownership.fence(TARGET)).isEmpty();
        renew(50);
        assertThat(ownership.fence(TARGET)).isEmpty();
        renew(55);
        tableVersion.set(49);
        assertThat(ownership.fence(TARGET)).isEmpty();
        tableVersion.set(50);
        assertThat(ownership.fence(TARGET)).hasValue(41);
    }

    /** Guards against waiting for a reading of what the store has just acknowledged. */
    @Test
    void aTargetClaimedAfterALapseIsOwnedAtOnce() {
        renew(40);
        time.advance(Lease.DURATION);
        renew(50);
        putHolder("one", INCARNATION, 51);
        assertThat(ownership.fence(TARGET)).hasValue(51);
    }

    /** Guards against a reading that was made before a second lapse. */
    @Test
    void aSecondLapseRequiresAnotherReading() {
        AtomicLong tableVersion = new AtomicLong(50);
        ownership.term().setTableVersion(tableVersion::get);
        renew(40);
        putHolder("one", INCARNATION, 41);
        time.advance(Lease.DURATION);
        renew(50);
        assertThat(ownership.fence(TARGET)).hasValue(41);
        time.advance(Lease.DURATION);
        renew(60);
        assertThat(ownership.fence(TARGET)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"''", "'one'", "'one two'", "'one 1 2'", "' 1'"})
    void aMalformedRowNamesNoOwner(String text) {
        assertThat(HolderRow.parse(text)).isEmpty();
    }
}
