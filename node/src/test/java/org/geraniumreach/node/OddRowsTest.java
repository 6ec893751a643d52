package org.geraniumreach.node;

import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Rows of another writer in the tables that an entry reads. */
class OddRowsTest {

    private static final int ENTRIES = 2;
    private static final int REWRITES = 10;
    private static final int MAXIMUM_LINE_LENGTH = 1_000;
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration FOLLOW_TIMEOUT = Duration.ofSeconds(15);
    private static final String LARGE_NUMBER = "9".repeat(900);

    private static final String TARGET =
            "{\"service\":\"plain\",\"address\":\"127.0.0.1:9\",\"zone\":\"loopback\",\"version\":\"v1\",\"slots\":64,"
                    + "\"state\":\"ready\",\"sequence\":0,\"born\":1,\"models\":[]}";

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path directory;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private int requests;

    private record OddRow(String table, String key, String value) {}

    private static String nested(int levels) {
        return "{\"service\":" + "[".repeat(levels) + "]".repeat(levels) + "}";
    }

    private static List<OddRow> targetRows() {
        List<String> values = new ArrayList<>(List.of(
                "",
                "null",
                "no JSON",
                "{",
                "[]",
                nested(900),
                nested(20_000),
                "{\"models\":" + "[".repeat(900) + "]".repeat(900) + "}"));
        for (String number :
                List.of("-1", "0", "65536", "99999999999", LARGE_NUMBER, "1e999999999", "4294967302", "1.5", "\"x\"")) {
            values.add(TARGET.replace("\"slots\":64", "\"slots\":" + number));
            values.add(TARGET.replace("\"born\":1", "\"born\":" + number));
            values.add(TARGET.replace("127.0.0.1:9", "127.0.0.1:" + number.replace("\"", "")));
            values.add(TARGET.replace("\"sequence\":0", "\"cold_remaining_ms\":" + number));
        }
        List.of("999.1.1.1:80", "host:80", ":80", "127.0.0.1", "1.1.1.1.1:80")
                .forEach(address -> values.add(TARGET.replace("127.0.0.1:9", address)));
        List<OddRow> rows = new ArrayList<>();
        values.forEach(value -> rows.add(new OddRow("servers", "odd-" + rows.size(), value)));
        rows.add(new OddRow("servers", "", TARGET));
        rows.add(new OddRow("servers", "odd key \u00e9", TARGET));
        return rows;
    }

    private static List<OddRow> otherRows() {
        String suspects = Base64.getEncoder().encodeToString("no message".getBytes(StandardCharsets.UTF_8));
        return List.of(
                new OddRow(
                        "op", "version/base.a1", "{\"model\":\"\",\"adapter\":\"\",\"version\":" + LARGE_NUMBER + "}"),
                new OddRow("op", "version/base.a2", "{\"model\":\"base\",\"adapter\":\"\",\"version\":1}"),
                new OddRow("op", "version/base.a3", nested(20_000)),
                new OddRow("op", "evacuate/", "x"),
                new OddRow("op", "", "x"),
                new OddRow("fleet", "", "x"),
                new OddRow("fleet", "holder/", "entry-0 1"),
                new OddRow("fleet", "holder/odd key", "entry-0 1"),
                new OddRow("fleet", "holder/one", "entry-0 " + LARGE_NUMBER),
                new OddRow("fleet", "holder/two", "odd/name 1"),
                new OddRow("fleet", "share/acme", "odd/name 1 0\n"),
                new OddRow("fleet", "entry/", "127.0.0.1 80 1"),
                new OddRow("fleet", "entry/odd/name", "127.0.0.1 80 1"),
                new OddRow("fleet", "entry/odd", "127.0.0.1 65536 1"),
                new OddRow("fleet", "entry/odd-address", "1.1.1.1.1.1 80 1"),
                new OddRow("fleet", "entry/odd-number", "127.0.0.1 80 " + LARGE_NUMBER),
                new OddRow("fleet", "capacity/odd", "1e999"),
                new OddRow("fleet", "share/", "entry-0 1000 0\n"),
                new OddRow("fleet", "share/odd", "entry-0 2000 0\n"),
                new OddRow("fleet", "software/odd", "%%%\n"),
                new OddRow("fleet", "software/plain", "v1\nv1\n"),
                new OddRow("fleet", "suspects/odd", Long.MIN_VALUE + " "),
                new OddRow("fleet", "suspects/odder", "-9000000000000000000 "),
                new OddRow("fleet", "suspects/odd-message", "1 " + suspects));
    }

    /** Guards against a row of another writer that ends an entry, or after which it follows its tables no more. */
    @Test
    void entriesLiveOnAndFollowTheOtherRows() throws Exception {
        try (FakePlatform platform = new FakePlatform()) {
            FakePlatform.FakeTarget first = platform.addTarget("one", "plain");
            try (EntryProcesses entries = new EntryProcesses(platform, ENTRIES, directory)) {
                entries.awaitReady();
                List<OddRow> rows = new ArrayList<>(targetRows());
                rows.addAll(otherRows());
                for (int rewrite = 0; rewrite < REWRITES; rewrite++) {
                    rows.forEach(row -> platform.putRow(row.table(), row.key(), row.value()));
                    Thread.sleep(100);
                }
                platform.putRow("fleet", "entry/sound", "127.0.0.1 1 1");
                platform.addTarget("two", "plain");
                first.leave();
                platform.configure(configuration());
                for (EntryProcesses.Entry entry : entries.entries()) {
                    await(() -> send(entry, "/later/x") == 200);
                    await(() -> logHas(entry, "\"name\":\"INSTANCE_JOINED\",\"id\":\"sound\""));
                    assertThat(entry.isAlive()).isTrue();
                    assertThat(Files.readAllLines(entry.log()))
                            .filteredOn(line -> line.contains("ROW_UNREADABLE"))
                            .isNotEmpty()
                            .allSatisfy(line -> assertThat(line).hasSizeLessThan(MAXIMUM_LINE_LENGTH))
                            .hasSizeLessThan(rows.size() * (REWRITES + 2));
                    assertThat(Files.readString(entry.log())).doesNotContain("UNEXPECTED_FAILURE");
                }
            }
        }
    }

    private static String configuration() {
        SilenceConfiguration configuration = new SilenceConfiguration();
        configuration.addService("plain");
        configuration.addRoute("look", "/later/", "plain");
        return configuration.text(2);
    }

    private int send(EntryProcesses.Entry entry, String path) {
        String id = "odd-" + requests++;
        try {
            return CallerRequests.status(
                    client,
                    CallerRequests.post(entry.address(), path, id, CALLER_TIMEOUT, "hi", "base")
                            .build());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private static boolean logHas(EntryProcesses.Entry entry, String text) {
        try {
            return Files.readString(entry.log()).contains(text);
        } catch (IOException unreadable) {
            return false;
        }
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + FOLLOW_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("the entry follows its tables").isLessThan(until);
            Thread.sleep(100);
        }
    }
}
