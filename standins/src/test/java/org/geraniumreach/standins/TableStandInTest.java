package org.geraniumreach.standins;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.PlatformException.Effect;
import org.geraniumreach.ports.PlatformException.Reason;
import org.geraniumreach.ports.TableService;
import org.geraniumreach.standins.http.Call;
import org.geraniumreach.standins.http.Faults;
import org.geraniumreach.standins.table.TableStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/** Tests the table service client against the stand-in. */
class TableStandInTest {

    private static final RowKey KEY = RowKey.of("head", "a/b c&d=é");

    private final StandInsFixture fixture = new StandInsFixture();
    private TableStandIn standIn;
    private TableService table;

    @BeforeEach
    void start() throws IOException {
        int port = StandInsFixture.freePort();
        standIn = new TableStandIn(port, 0, 0, fixture.timer);
        table = fixture.clients.tableService(StandInsFixture.url(port), StandInsFixture.CALL_TIMEOUT);
    }

    @AfterEach
    void stop() {
        standIn.server().close();
        fixture.close();
    }

    @Test
    void aRowIsReadAsItWasWritten() throws Exception {
        assertThat(table.read(KEY)).isEmpty();
        assertThat(table.commit(insert("{\"x\":1}"))).isTrue();
        assertThat(table.read(KEY)).get().extracting(Row::key, Row::value).containsExactly(KEY, "{\"x\":1}");
    }

    @Test
    void aTransactionWhoseConditionFailsWritesNothing() throws Exception {
        table.commit(insert("1"));
        Transaction second = insert("2").withWrite(RowKey.of("other", "k"), "3");
        assertThat(table.commit(second)).isFalse();
        assertThat(table.read(RowKey.of("other", "k"))).isEmpty();
        assertThat(table.read(KEY)).get().extracting(Row::value).isEqualTo("1");
    }

    @Test
    void aVersionIsNotReusedAfterADelete() throws Exception {
        table.commit(insert("1"));
        long first = table.read(KEY).orElseThrow().version();
        table.commit(Transaction.empty().withDelete(KEY));
        table.commit(insert("1"));
        assertThat(table.read(KEY).orElseThrow().version()).isGreaterThan(first);
    }

    @Test
    void aScanReturnsRowsInOrderAfterAKey() throws Exception {
        Transaction rows = Transaction.empty();
        for (String key : new String[] {"a1", "b3", "b1", "b2", "c1"}) {
            rows = rows.withWrite(RowKey.of("t", key), "0");
        }
        table.commit(rows);
        assertThat(table.scan("t", "b", "", 10))
                .extracting(row -> row.key().key())
                .containsExactly("b1", "b2", "b3");
        assertThat(table.scan("t", "b", "b1", 1))
                .extracting(row -> row.key().key())
                .containsExactly("b2");
    }

    @Test
    void aCallToAServiceThatIsDownHasNoEffect() throws Exception {
        standIn.server().setFaults(faults("{\"down\":true}"));
        PlatformException failure = catchThrowableOfType(PlatformException.class, () -> table.commit(insert("1")));
        assertThat(failure.effect()).isEqualTo(Effect.NONE);
        assertThat(failure.reason()).isEqualTo(Reason.UNREACHABLE);
        standIn.server().setFaults(Faults.NONE);
        assertThat(table.read(KEY)).isEmpty();
    }

    @Test
    void aLostAnswerReportsAnUnknownEffectThatAReadResolves() throws Exception {
        // The connection breaks after the service has applied a commit and before it answers.
        // A read on a new connection shows whether the commit took effect.
        standIn.server().setFaults(faults("{\"loseAnswers\":true,\"count\":1}"));
        PlatformException failure = catchThrowableOfType(PlatformException.class, () -> table.commit(insert("1")));
        assertThat(failure.effect()).isEqualTo(Effect.UNKNOWN);
        assertThat(table.read(KEY)).isPresent();
    }

    @Test
    void aCallAfterASilentConnectionUsesANewConnection() throws Exception {
        // A device on the network path loses the state of all pooled connections, which stay open without delivering
        // anything. One call times out; the next must use none of these connections, not even those not yet tried.
        table.commit(insert("1"));
        openTwoConnections();
        standIn.server().silenceConnections();
        PlatformException failure = catchThrowableOfType(PlatformException.class, () -> table.read(KEY));
        assertThat(failure.effect()).isEqualTo(Effect.UNKNOWN);
        assertThat(table.read(KEY)).isPresent();
    }

    private void openTwoConnections() throws Exception {
        standIn.server().setFaults(faults("{\"slowMillis\":200}"));
        CompletableFuture<Void> other = CompletableFuture.runAsync(() -> {
            try {
                table.read(KEY);
            } catch (PlatformException e) {
                throw new CompletionException(e);
            }
        });
        table.read(KEY);
        other.join();
        standIn.server().setFaults(Faults.NONE);
    }

    @Test
    void aCallAboveTheRateHasNoEffect() throws Exception {
        int port = StandInsFixture.freePort();
        TableStandIn limited = new TableStandIn(port, 1, 1, fixture.timer);
        TableService throttled = fixture.clients.tableService(StandInsFixture.url(port), StandInsFixture.CALL_TIMEOUT);
        throttled.read(KEY);
        PlatformException failure = catchThrowableOfType(PlatformException.class, () -> throttled.read(KEY));
        assertThat(failure.reason()).isEqualTo(Reason.THROTTLED);
        assertThat(failure.effect()).isEqualTo(Effect.NONE);
        limited.server().close();
    }

    private static Transaction insert(String value) {
        return Transaction.empty()
                .withCondition(KEY, Transaction.ABSENT_VERSION)
                .withWrite(KEY, value);
    }

    private static Faults faults(String json) throws IOException {
        return Call.JSON.readValue(json, Faults.class);
    }
}
