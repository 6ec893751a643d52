import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** An entry, started as a separate process with the command of the deploy file. */
final class EntryProgram implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Path root;
    private final Path folder;
    private final String name;
    private final String ip;
    private final String zone;
    private final String storeAddress;
    private final int frontPort;
    private final int readinessPort;
    private final int linkPort;
    private Process process;

    EntryProgram(Path root, Path folder, String name, String ip, String zone, String storeAddress) throws IOException {
        this.root = root;
        this.folder = folder;
        this.name = name;
        this.ip = ip;
        this.zone = zone;
        this.storeAddress = storeAddress;
        this.frontPort = freePort(ip);
        this.readinessPort = freePort(ip);
        this.linkPort = freePort(ip);
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    String name() {
        return name;
    }

    String ip() {
        return ip;
    }

    int port() {
        return frontPort;
    }

    Path log() {
        return folder.resolve(name + ".log");
    }

    void start() throws IOException {
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings());
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(root.toFile());
        builder.environment().put("GERANIUMREACH_NODE_FILE", settings.toString());
        File log = log().toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                List<String> words = new ArrayList<>(List.of(
                        line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
                words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
                return words;
            }
        }
        throw new IOException("deploy/system.toml has no run");
    }

    private String settings() {
        ObjectNode file = MAPPER.createObjectNode();
        file.put("node", name).put("role", "entry").put("machine_class", "edge");
        file.putArray("serves").add("edge");
        file.put("ip", ip).put("zone", zone).put("region", "region-1");
        file.putObject("zones").put("zone-a", "region-1").put("zone-b", "region-1");
        file.putObject("listen")
                .put("front", ip + ":" + frontPort)
                .put("readiness", ip + ":" + readinessPort);
        file.putArray("internal_ports").add(linkPort).add(linkPort);
        file.putArray("seeds");
        file.put("bootstrap", true).put("count_in_tolerance", false);
        file.putObject("limits")
                .put("cpu_share", 0.57)
                .put("cores", 1)
                .put("memory_mb", 430)
                .put("max_fds", 4200)
                .put("link_mbps", 1000.0)
                .put("disk_mb", 0);
        file.putNull("data_dir");
        file.put("discovery", "platform").put("entry_mode", "virtual_ip").put("heartbeat_ms", 1200);
        for (String contract :
                "base drain config cost retry recover fleet stream engine tenants quota platform".split(" ")) {
            file.withArray("contracts").add(contract);
        }
        file.putObject("bounds")
                .put("seed_lag_s", 3)
                .put("addr_reuse_s", 2)
                .put("contact_ms", 3000)
                .put("ack_timeout_ms", 4000)
                .put("catch_up_s", 4)
                .put("drain_ms", 2000)
                .put("grace_s", 8)
                .put("loss_slack_ms", 200)
                .put("config_apply_ms", 2000)
                .put("rollback_slack_ms", 250)
                .put("max_stretch_ms", 5000)
                .put("retry_budget", 0.2)
                .put("budget_window_s", 10)
                .put("budget_extra", 54)
                .put("quota_window_s", 8)
                .put("quota_overage", 0.1)
                .put("quota_slack", 11000)
                .put("recovery_s", 12)
                .put("pass_ms", 120)
                .put("retry_after_s", 0)
                .put("require_fencing", false)
                .put("lease_ms", 3000)
                .put("thaw_ms", 300)
                .put("version_ms", 5000);
        file.putObject("platform")
                .put("address", storeAddress)
                .put("form", "table")
                .put("writes_per_s", 400)
                .put("reads_per_s", 2000)
                .put("tx_ms", 5.0)
                .put("row_bytes", 65536)
                .put("across", false)
                .put("history_s", 20);
        return file.toPrettyString();
    }

    /** Waits until the readiness check succeeds. */
    void awaitReady() throws Exception {
        long endAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
        while (!isReady()) {
            if (System.nanoTime() > endAt || !process.isAlive()) {
                throw new IOException(name + " is not ready");
            }
            Thread.sleep(50);
        }
    }

    boolean isReady() {
        try {
            HttpURLConnection check =
                    (HttpURLConnection) new URL("http://" + ip + ":" + readinessPort + "/-/readyz").openConnection();
            check.setConnectTimeout(500);
            check.setReadTimeout(500);
            return check.getResponseCode() == 200;
        } catch (IOException unavailable) {
            return false;
        }
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    @Override
    public void close() {
        if (isAlive()) {
            process.destroyForcibly();
        }
    }
}
