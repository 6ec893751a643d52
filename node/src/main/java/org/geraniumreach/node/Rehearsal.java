package org.geraniumreach.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.stream.Stream;

import org.geraniumreach.gateway.cold.ColdStartLimiter;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.process.ProcessSettings;
import org.geraniumreach.gateway.quota.Quotas;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.platform.SamplePlatform;

/**
 * Starts two entries on loopback, lets them serve a few requests, and loads what they are made of, so that the build can archive
 * the classes.
 *
 * <p>A process that is restarted while callers wait spends most of its start reading, checking and linking classes; from an
 * archive it maps them. What is not rehearsed here is loaded as without an archive, so an omission costs time and breaks nothing.
 * Confined to the main thread.
 */
final class Rehearsal {

    private static final Duration ROUND_INTERVAL = Duration.ofMillis(100);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);

    /** Entries that start together take their parts of accounts' rates after this. */
    private static final Duration SHARE_ASSIGNMENT_TIME = Duration.ofMillis(2_500);

    private static final int ROUNDS = 10;
    private static final byte[] GET_REQUEST =
            "GET / HTTP/1.1\r\nHost: rehearsal\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final String OWN_JAR_PREFIX = "geraniumreach";
    private static final String CLASS_SUFFIX = ".class";

    private final JsonLog log;

    Rehearsal(JsonLog log) {
        this.log = log;
    }

    void run() throws IOException {
        loadOwnClasses();
        try (SamplePlatform platform = SamplePlatform.start(this::logFailure)) {
            ProcessSettings settings = settings("rehearsal-1", platform);
            InetSocketAddress metrics = freeAddress();
            new EntryProcess(settings, OptionalInt.of(metrics.getPort()), log).start();
            new EntryProcess(settings("rehearsal-2", platform), OptionalInt.empty(), log).start();
            sendRequest(settings.callerAddress(), GET_REQUEST);
            Thread.sleep(SHARE_ASSIGNMENT_TIME.toMillis());
            for (int round = 0; round < ROUNDS; round++) {
                for (byte[] request : SamplePlatform.callersRequests(round)) {
                    sendRequest(settings.callerAddress(), request);
                }
                sendRequest(settings.readinessAddress(), GET_REQUEST);
                Thread.sleep(ROUND_INTERVAL.toMillis());
            }
            sendRequest(metrics, GET_REQUEST);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static ProcessSettings settings(String instance, SamplePlatform platform) throws IOException {
        return new ProcessSettings(
                instance,
                FailureDomain.of("loopback"),
                freeAddress(),
                freeAddress(),
                freeAddress(),
                platform.address(),
                new ProcessSettings.RepeatLimits(0, 0, Duration.ofSeconds(1)),
                new Quotas.Tolerance(0, 0, Duration.ofSeconds(1)),
                new ColdStartLimiter.Tolerance(1, 0),
                Duration.ofSeconds(5),
                1,
                Duration.ofSeconds(1));
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) probe.getLocalSocketAddress();
        }
    }

    /** A question that stays unanswered has loaded what it could. */
    private void sendRequest(InetSocketAddress address, byte[] request) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
            socket.getOutputStream().write(request);
            socket.getInputStream().readAllBytes();
        } catch (IOException unanswered) {
            logFailure(String.valueOf(unanswered.getMessage()));
        }
    }

    private void logFailure(String reason) {
        log.write(EventCode.LIBRARY_MESSAGE, "rehearsal", Field.of("reason", reason));
    }

    private void loadOwnClasses() throws IOException {
        Path main;
        try {
            main = Path.of(Rehearsal.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (URISyntaxException unreadable) {
            throw new IOException("the program's own place: " + unreadable.getMessage(), unreadable);
        }
        loadClasses(main);
        try (Stream<Path> libraries = Files.list(main.resolveSibling("lib"))) {
            List<Path> own = libraries
                    .filter(path -> path.getFileName().toString().startsWith(OWN_JAR_PREFIX))
                    .toList();
            for (Path library : own) {
                loadClasses(library);
            }
        }
    }

    private void loadClasses(Path library) throws IOException {
        try (JarFile jar = new JarFile(library.toFile())) {
            for (JarEntry entry : (Iterable<JarEntry>) jar.stream()::iterator) {
                String name = entry.getName();
                if (name.endsWith(CLASS_SUFFIX) && !name.endsWith("-info" + CLASS_SUFFIX)) {
                    loadClass(name.substring(0, name.length() - CLASS_SUFFIX.length())
                            .replace('/', '.'));
                }
            }
        }
    }

    private void loadClass(String name) {
        try {
            Class.forName(name, false, Rehearsal.class.getClassLoader());
        } catch (ClassNotFoundException | LinkageError absent) {
            // A class of a part that is not delivered to this process; it is not loaded in service either.
            log.write(EventCode.UNEXPECTED_FAILURE, name, Field.of("reason", String.valueOf(absent.getMessage())));
        }
    }
}
