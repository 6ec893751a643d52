package org.geraniumreach.integration;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A Java process started by a test. Confined to the test. */
final class JavaProcess implements AutoCloseable {

    private static final long EXIT_TIMEOUT_SECONDS = 40;

    private final Process process;

    private JavaProcess(Process process) {
        this.process = process;
    }

    static JavaProcess start(String module, String mainClass, Path log, String... arguments) throws IOException {
        Path target = Path.of("..", module, "target").toAbsolutePath().normalize();
        String classPath = target.resolve("classes") + File.pathSeparator + target.resolve("lib") + "/*";
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xms16m",
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                classPath,
                mainClass));
        command.addAll(Arrays.asList(arguments));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        return new JavaProcess(builder.start());
    }

    /** Kills the process immediately, as in a crash. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    void suspend() throws IOException, InterruptedException {
        sendSignal("STOP");
    }

    void resume() throws IOException, InterruptedException {
        sendSignal("CONT");
    }

    /** Sends SIGTERM, as the platform does to stop a process. */
    void terminate() throws IOException, InterruptedException {
        sendSignal("TERM");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    boolean awaitExit() throws InterruptedException {
        return process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void sendSignal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    @Override
    public void close() throws InterruptedException {
        kill();
    }
}
