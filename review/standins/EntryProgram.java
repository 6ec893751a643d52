import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry of the project, started as a process with the command of the deploy file. */
final class EntryProgram implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final long READY_MILLIS = 20_000;

    private final Process process;
    private final InetSocketAddress front;
    private final InetSocketAddress readiness;

    private EntryProgram(Process process, InetSocketAddress front, InetSocketAddress readiness) {
        this.process = process;
        this.front = front;
        this.readiness = readiness;
    }

    /** Starts an entry with settings like those of the site's edge machines. */
    static EntryProgram start(Path repository, Path folder, String node, InetAddress ip, InetSocketAddress store)
            throws IOException {
        return start(repository, folder, node, "guj-west-a", ip, store);
    }

    /** Starts an entry in a zone. */
    static EntryProgram start(
            Path repository, Path folder, String node, String zone, InetAddress ip, InetSocketAddress store)
            throws IOException {
        InetSocketAddress front = new InetSocketAddress(ip, freePort(ip));
        InetSocketAddress readiness = new InetSocketAddress(ip, freePort(ip));
        Path settings = folder.resolve(node + ".json");
        Files.writeString(settings, settings(node, zone, ip, front, readiness, freePort(ip), store));
        Matcher command = RUN.matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!command.find()) {
            throw new IOException("the deploy file has no run command");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(command.group(1).split(" ")))
                .directory(repository.toFile())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve(node + ".log").toFile());
        builder.environment().put("GERANIUMREACH_NODE_FILE", settings.toString());
        Process process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return new EntryProgram(process, front, readiness);
    }

    private static int freePort(InetAddress ip) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, ip)) {
            return probe.getLocalPort();
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String settings(
            String node,
            String zone,
            InetAddress ip,
            InetSocketAddress front,
            InetSocketAddress readiness,
            int linkPort,
            InetSocketAddress store) {
        return """
                {"node": "%s", "role": "entry", "machine_class": "edge", "serves": ["edge"], "ip": "%s",
                 "zone": "%s", "region": "guj-west", "zones": {"guj-west-a": "guj-west", "guj-west-b": "guj-west", "guj-west-c": "guj-west"},
                 "listen": {"front": "%s", "readiness": "%s"}, "internal_ports": [%d, %d], "seeds": [],
                 "bootstrap": true, "count_in_tolerance": false,
                 "limits": {"cpu_share": 0.57, "cores": 1, "memory_mb": 430, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
                 "data_dir": null, "discovery": "platform", "entry_mode": "virtual_ip", "heartbeat_ms": 1200,
                 "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants",
                               "quota", "platform"],
                 "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
                 "bounds": {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
                            "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
                            "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": false, "revoke_ms": 5000,
                            "retry_budget": 0.2, "budget_window_s": 10, "budget_extra": 54, "quota_window_s": 8,
                            "quota_overage": 0.1, "quota_slack": 11000, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0,
                            "require_fencing": false, "lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5,
                            "ceiling_overage": 1.1, "version_ms": 5000},
                 "platform": {"address": "%s", "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0,
                              "part_writes_per_s": 200, "row_bytes": 65536, "across": false, "history_s": 20,
                              "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_per_s": 80.0}}
                """
                .formatted(
                        node,
                        ip.getHostAddress(),
                        zone,
                        text(front),
                        text(readiness),
                        linkPort,
                        linkPort,
                        text(store));
    }

    InetSocketAddress front() {
        return front;
    }

    /** Waits until the entry reports that it is ready; false if it does not in time. */
    boolean awaitReady() throws InterruptedException {
        long until = System.nanoTime() + READY_MILLIS * 1_000_000;
        while (System.nanoTime() < until && process.isAlive()) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    private boolean isReady() {
        try (Socket socket = new Socket(readiness.getAddress(), readiness.getPort())) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /-/readyz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n".getBytes());
            HttpMessages.Message answer = HttpMessages.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long processId() {
        return process.pid();
    }

    /** Sends the process a signal. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills the process that this object has started. */
    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }
}
