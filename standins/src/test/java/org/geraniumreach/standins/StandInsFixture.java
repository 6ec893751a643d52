package org.geraniumreach.standins;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;

import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.model.testing.FreeAddresses;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.TableService;
import org.geraniumreach.standalone.PlatformClients;
import org.geraniumreach.standalone.PlatformClients.EngineLimits;
import org.geraniumreach.standins.engine.EngineSettings;
import org.geraniumreach.standins.table.TableStandIn;

/** Provides ports, clients, a timer and settings to the tests of the stand-ins. */
final class StandInsFixture implements AutoCloseable {

    static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
    static final EngineLimits ENGINE_LIMITS =
            new EngineLimits(CALL_TIMEOUT, Duration.ofSeconds(5), Duration.ofSeconds(2));

    private static final Duration WARM_UP_TIMEOUT = Duration.ofSeconds(30);

    static {
        // The first call of a process loads the client and server classes, which can exceed the call timeout on a busy
        // machine.
        warmUp();
    }

    final ScheduledExecutorService timer = Timers.create();
    final PlatformClients clients = PlatformClients.create(4);

    private static void warmUp() {
        ScheduledExecutorService timer = Timers.create();
        try (PlatformClients clients = PlatformClients.create(1)) {
            int port = freePort();
            TableStandIn standIn = new TableStandIn(port, 0, 0, timer);
            TableService table = clients.tableService(url(port), WARM_UP_TIMEOUT);
            table.commit(Transaction.empty().withWrite(RowKey.of("warm", "up"), "0"));
            standIn.server().close();
        } catch (IOException | PlatformException failure) {
            throw new ExceptionInInitializerError(failure);
        } finally {
            timer.shutdownNow();
        }
    }

    static int freePort() throws IOException {
        return FreeAddresses.next().getPort();
    }

    static URI url(int port) {
        return URI.create("http://127.0.0.1:" + port);
    }

    static EngineSettings fastEngine() {
        return new EngineSettings(2, 8, 200, 1, 1, 1, 0, 1024, true, 60_000, 1, 1, 0);
    }

    @Override
    public void close() {
        clients.close();
        timer.shutdownNow();
    }
}
