package org.geraniumreach.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Calls URLs in sequence and prints their answers, so that scripts need no other HTTP client. */
final class CallCommand implements Command {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final int OK = 200;

    @Option(name = "--post", usage = "file to post; without it the URLs are read")
    private Path post;

    @Option(name = "--wait-seconds", usage = "how long to try each URL until it answers 200")
    private int waitSeconds;

    @Option(name = "--quiet", usage = "print no answers")
    private boolean quiet;

    @Argument(required = true, metaVar = "URL", usage = "what to call")
    private List<URI> urls = new ArrayList<>();

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    @Override
    public int run() throws IOException, InterruptedException {
        for (URI url : urls) {
            if (!call(url)) {
                return 1;
            }
        }
        return 0;
    }

    private boolean call(URI url) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds);
        String problem = "";
        do {
            try {
                HttpResponse<String> answer = client.send(request(url), BodyHandlers.ofString());
                if (answer.statusCode() == OK) {
                    print(answer.body());
                    return true;
                }
                problem = "status " + answer.statusCode() + " " + answer.body();
            } catch (IOException e) {
                problem = e.toString();
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        } while (System.nanoTime() < deadlineNanos);
        System.err.println(url + ": " + problem);
        return false;
    }

    private void print(String body) {
        if (!quiet) {
            System.out.println(body);
        }
    }

    private HttpRequest request(URI url) throws IOException {
        HttpRequest.Builder builder = HttpRequest.newBuilder(url).timeout(TIMEOUT);
        if (post != null) {
            builder.header("Content-Type", "application/json").POST(BodyPublishers.ofFile(post));
        }
        return builder.build();
    }
}
