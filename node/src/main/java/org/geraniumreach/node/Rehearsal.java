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
import java.util.Set;
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
 * Training run for the build's class data archive: starts two entries on loopback, sends them a few requests, and loads all of this
 * project's classes.
 *
 * <p>Without an archive, a process spends most of its start on reading, verifying and linking classes, while callers wait. Classes that
 * this run does not load are loaded at run time as usual, so an omission costs start time only. Confined to the
 * main thread.
 */
final class Rehearsal {

    private static final Duration ROUND_INTERVAL = Duration.ofMillis(100);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);

    /** Entries that start together have divided the accounts' rates among them by then. */
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
                for (byte[] request : SamplePlatform.callerRequests(round)) {
                    sendRequest(settings.callerAddress(), request);
                }
                sendRequest(settings.readinessAddress(), GET_REQUEST);
                Thread.sleep(ROUND_INTERVAL.toMillis());
            }
            sendRequest(metrics, GET_REQUEST);
        } catch (InterruptedException interrupted) {
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
                Duration.ofSeconds(1),
                Set.of());
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) probe.getLocalSocketAddress();
        }
    }

    /** Sends a request; a failure is only logged, since the classes used until then have been loaded. */
    private void sendRequest(InetSocketAddress address, byte[] request) {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
            socket.getOutputStream().write(request);
            socket.getInputStream().readAllBytes();
        } catch (IOException failed) {
            logFailure(String.valueOf(failed.getMessage()));
        }
    }

    private void logFailure(String reason) {
        log.write(EventCode.LIBRARY_MESSAGE, "rehearsal", Field.of("reason", reason));
    }

    private void loadOwnClasses() throws IOException {
        Path mainJar;
        try {
            mainJar = Path.of(Rehearsal.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (URISyntaxException unreadable) {
            throw new IOException("the program's own place: " + unreadable.getMessage(), unreadable);
        }
        loadClasses(mainJar);
        try (Stream<Path> libraries = Files.list(mainJar.resolveSibling("lib"))) {
            List<Path> ownLibraries = libraries
                    .filter(path -> path.getFileName().toString().startsWith(OWN_JAR_PREFIX))
                    .toList();
            for (Path library : ownLibraries) {
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
            // The class needs a part that is not shipped with this process, so it is not loaded in production either.
            log.write(EventCode.UNEXPECTED_FAILURE, name, Field.of("reason", String.valueOf(absent.getMessage())));
        }
    }
}
