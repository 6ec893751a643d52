package org.geraniumreach.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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

import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.process.ProcessSettings;
import org.geraniumreach.gateway.quota.Quotas;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.FailureDomain;

/**
 * Starts an entry on loopback and loads what it is made of, so that the build can archive the classes.
 *
 * <p>A process that is restarted while callers wait spends most of its start reading, checking and linking classes; from an
 * archive it maps them. What is not rehearsed here is loaded as without an archive, so an omission costs time and breaks nothing.
 * Confined to the main thread.
 */
final class Rehearsal {

    private static final Duration PAUSE = Duration.ofMillis(100);
    private static final Duration READ_LIMIT = Duration.ofSeconds(1);
    private static final int QUESTIONS = 20;
    private static final String OWN_PREFIX = "geraniumreach";
    private static final String CLASS_SUFFIX = ".class";
    private static final byte[] UNAVAILABLE =
            "HTTP/1.1 503 Unavailable\r\nContent-Length: 2\r\n\r\n{}".getBytes(StandardCharsets.US_ASCII);

    private final JsonLog log;

    Rehearsal(JsonLog log) {
        this.log = log;
    }

    void run() throws IOException {
        loadOwnClasses();
        try (ServerSocket store = new ServerSocket(0, QUESTIONS, InetAddress.getLoopbackAddress())) {
            Thread answering = new Thread(() -> refuseAll(store), "store");
            answering.setDaemon(true);
            answering.start();
            ProcessSettings settings = settings(store);
            InetSocketAddress metrics = free();
            new EntryProcess(settings, OptionalInt.of(metrics.getPort()), log).start();
            for (int question = 0; question < QUESTIONS; question++) {
                ask(settings.callers());
                ask(settings.readiness());
                Thread.sleep(PAUSE.toMillis());
            }
            ask(metrics);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static ProcessSettings settings(ServerSocket store) throws IOException {
        return new ProcessSettings(
                "rehearsal",
                FailureDomain.of("loopback"),
                free(),
                free(),
                free(),
                (InetSocketAddress) store.getLocalSocketAddress(),
                new ProcessSettings.RepeatLimits(0, 0, Duration.ofSeconds(1)),
                new Quotas.Tolerance(0, 0, Duration.ofSeconds(1)),
                Duration.ofSeconds(1));
    }

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) probe.getLocalSocketAddress();
        }
    }

    private void ask(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout((int) READ_LIMIT.toMillis());
            String request =
                    "POST /rehearsal/ HTTP/1.1\r\nHost: rehearsal\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream answer = socket.getInputStream();
            answer.readNBytes(UNAVAILABLE.length);
        }
    }

    private void refuseAll(ServerSocket store) {
        try {
            while (!store.isClosed()) {
                refuse(store.accept());
            }
        } catch (IOException closed) {
            log.write(EventCode.LIBRARY_MESSAGE, "rehearsal", Field.of("reason", String.valueOf(closed.getMessage())));
        }
    }

    private static void refuse(Socket caller) throws IOException {
        try (caller;
                OutputStream answer = caller.getOutputStream()) {
            caller.getInputStream().read();
            answer.write(UNAVAILABLE);
        }
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
        loadAll(main);
        try (Stream<Path> libraries = Files.list(main.resolveSibling("lib"))) {
            List<Path> own = libraries
                    .filter(path -> path.getFileName().toString().startsWith(OWN_PREFIX))
                    .toList();
            for (Path library : own) {
                loadAll(library);
            }
        }
    }

    private void loadAll(Path library) throws IOException {
        try (JarFile jar = new JarFile(library.toFile())) {
            for (JarEntry entry : (Iterable<JarEntry>) jar.stream()::iterator) {
                String name = entry.getName();
                if (name.endsWith(CLASS_SUFFIX) && !name.endsWith("-info" + CLASS_SUFFIX)) {
                    load(name.substring(0, name.length() - CLASS_SUFFIX.length())
                            .replace('/', '.'));
                }
            }
        }
    }

    private void load(String name) {
        try {
            Class.forName(name, false, Rehearsal.class.getClassLoader());
        } catch (ClassNotFoundException | LinkageError absent) {
            // A class of a part that is not delivered to this process; it is not loaded in service either.
            log.write(EventCode.UNEXPECTED_FAILURE, name, Field.of("reason", String.valueOf(absent.getMessage())));
        }
    }
}
