package org.geraniumreach.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;

import org.geraniumreach.standalone.PlatformClients;
import org.geraniumreach.standalone.PlatformClients.EngineLimits;
import org.geraniumreach.standins.engine.EngineSettings;

/** Free ports, threads and settings that the tests of the stand-ins share. */
final class StandInsFixture implements AutoCloseable {

    static final Duration LIMIT = Duration.ofMillis(500);
    static final EngineLimits ENGINE_LIMITS = new EngineLimits(LIMIT, Duration.ofSeconds(5), Duration.ofSeconds(2));

    final ScheduledExecutorService timer = Timers.create();
    final PlatformClients clients = PlatformClients.create(4);

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
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
