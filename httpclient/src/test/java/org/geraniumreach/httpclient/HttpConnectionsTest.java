package org.geraniumreach.httpclient;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.Future;
import org.assertj.core.api.SoftAssertions;
import org.geraniumreach.model.ConnectionUse;
import org.geraniumreach.model.Header;
import org.geraniumreach.model.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests the client against a server that writes exactly the bytes given by each test. */
class HttpConnectionsTest {

    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(10);
    private static final long TIMEOUT_SECONDS = 10;
    private static final HttpCallRequest GET = new HttpCallRequest("GET", "/x", List.of(), new byte[0]);
    private static final String FINAL_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfinal";
    private static final int BYTES_BEYOND_ALL_BUFFERS = 16 * 1024 * 1024;
    private static final int PAUSE_BEFORE_RESET_MILLIS = 50;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpConnections connections =
            new HttpConnections(group.next(), MonotonicClock.system(), Duration.ofSeconds(2));
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    private ServerSocket server;
    private Socket accepted;
    private volatile int maxIdleConnections = Integer.MAX_VALUE;
    private volatile HeadDecision headDecision = HeadDecision.receive();

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        if (accepted != null) {
            accepted.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    private void call() {
        group.next().execute(this::send);
    }

    private HttpCall send() {
        return send(GET);
    }

    private HttpCall send(HttpCallRequest request) {
        return connections.send(
                address(),
                request,
                new ConnectionReuse(MAX_IDLE_TIME, () -> maxIdleConnections, ResponseMatching.BY_LISTENER),
                new OutcomeRecorder());
    }

    private class OutcomeRecorder implements HttpResponseListener {
        private final StringBuilder body = new StringBuilder();

        @Override
        public HeadDecision onHead(HttpResponseHead head) {
            body.append(head.status()).append(' ');
            return headDecision;
        }

        @Override
        public void onPart(byte[] part) {
            body.append(new String(part, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd() {
            outcomes.add(body.toString());
        }

        @Override
        public void onFailed(CallFailure failure, String reason) {
            outcomes.add(failure.name());
        }
    }

    private String nextOutcome() throws InterruptedException {
        return outcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void accept() throws IOException {
        accepted = server.accept();
        accepted.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
    }

    private String readRequest() throws IOException {
        InputStream input = accepted.getInputStream();
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) input.read());
        }
        return head.toString();
    }

    /** Guards against servers that are told a time as it was before their connection was opened. */
    @Test
    void headersThatDependOnTheTimeAreTakenWhenTheRequestIsWritten() throws Exception {
        AtomicReference<String> moment = new AtomicReference<>("asked");
        HttpCallRequest request = new HttpCallRequest(
                "GET", "/x", List.of(), () -> List.of(new Header("X-Moment", moment.get())), new byte[0]);
        group.next().execute(() -> {
            send(request);
            moment.set("connected");
        });
        accept();
        assertThat(readRequest()).containsIgnoringCase("X-Moment: connected");
    }

    private void write(String text) throws IOException {
        accepted.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        accepted.getOutputStream().flush();
    }

    @ParameterizedTest
    @CsvSource({"'Content-Length: 2\r\n\r\nok'", "'Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n'"})
    void aFramedBodyIsComplete(String framingAndBody) throws Exception {
        call();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\n" + framingAndBody);
        assertThat(nextOutcome()).isEqualTo("200 ok");
    }

    @Test
    void aBodyDelimitedByConnectionCloseIsComplete() throws Exception {
        call();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\n\r\nok");
        accepted.close();
        assertThat(nextOutcome()).isEqualTo("200 ok");
    }

    // Guards against taking a truncated body for a complete one when a reset cuts off a body without framing.
    @Test
    void aBodyCutOffByAResetIsBroken() throws Exception {
        call();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\n\r\nok");
        TimeUnit.MILLISECONDS.sleep(200);
        accepted.setSoLinger(true, 0);
        accepted.close();
        assertThat(nextOutcome()).isEqualTo("BROKEN");
    }

    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok'",
        "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n'",
        "'HTTP/1.1 200 OK\r\nContent-Le'",
        "'not a response at all\r\n\r\n'"
    })
    void aTruncatedOrMalformedResponseIsBroken(String response) throws Exception {
        call();
        accept();
        readRequest();
        write(response);
        accepted.close();
        assertThat(nextOutcome()).isEqualTo("BROKEN");
    }

    /** Guards against a response that is cut off anywhere, also within its head, and is taken for a whole one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 12\r\n\r\nhello, hello",
                "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSeal: s\r\n\r\n5;x=y\r\nhello\r\n0\r\nTrailer: t\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno",
                "HTTP/1.1 200 OK\r\nFolded: a\r\n b\r\nContent-Length: 0\r\n\r\n"
            })
    void aResponseThatIsCutOffAnywhereIsBroken(String response) throws Exception {
        for (int length = 0; length < response.length(); length++) {
            for (boolean cutByReset : new boolean[] {false, true}) {
                call();
                accept();
                readRequest();
                write(response.substring(0, length));
                accepted.setSoLinger(cutByReset, 0);
                accepted.close();
                assertThat(nextOutcome()).as("cut after %d bytes", length).isEqualTo(CallFailure.BROKEN.name());
            }
        }
    }

    @Test
    void aCallOnARefusedConnectionIsNotSent() throws Exception {
        server.close();
        call();
        assertThat(nextOutcome()).isEqualTo("NOT_SENT");
    }

    @Test
    void aConnectionIsReusedForTheNextCall() throws Exception {
        call();
        accept();
        for (int number = 0; number < 2; number++) {
            readRequest();
            write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            assertThat(nextOutcome()).isEqualTo("200 ok");
            if (number == 0) {
                call();
            }
        }
        assertThat(connections.openedCount()).isEqualTo(1);
    }

    // Guards against giving the next call a surplus response that the server sent on the idle connection.
    /** Guards against a request that is written though its call has been cancelled or is not permitted any more. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aCallThatEndsAsItsConnectionOpensIsNotWritten(boolean cancelled) throws Exception {
        group.next().execute(() -> {
            HttpCall call = connections.send(
                    address(),
                    GET,
                    new ConnectionReuse(MAX_IDLE_TIME, () -> maxIdleConnections, ResponseMatching.BY_LISTENER),
                    new OutcomeRecorder() {
                        @Override
                        public boolean onSending(ConnectionUse use) {
                            return cancelled;
                        }
                    });
            if (cancelled) {
                call.cancel();
            }
        });
        try {
            accept();
            assertThat(accepted.getInputStream().read()).isEqualTo(-1);
        } catch (SocketException | SocketTimeoutException neverOpened) {
            assertThat(cancelled).isTrue();
        }
        assertThat(outcomes).isEmpty();
    }

    /** Guards against a call that needs a new connection, and is sent on one that has become idle at the same moment. */
    @Test
    void aCallWithoutReuseOpensAConnectionThoughNoTimeHasPassed() throws Exception {
        HttpConnections withoutTime = new HttpConnections(group.next(), () -> 0, Duration.ofSeconds(2));
        for (Duration maxIdleTime : List.of(MAX_IDLE_TIME, Duration.ZERO)) {
            ConnectionReuse reuse =
                    new ConnectionReuse(maxIdleTime, () -> maxIdleConnections, ResponseMatching.BY_LISTENER);
            group.next().execute(() -> withoutTime.send(address(), GET, reuse, new OutcomeRecorder()));
            accept();
            readRequest();
            write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            assertThat(nextOutcome()).isEqualTo("200 ok");
        }
        assertThat(withoutTime.openedCount()).isEqualTo(2);
    }

    @Test
    void aConnectionWithSurplusBytesIsNotReused() throws Exception {
        call();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assertThat(nextOutcome()).isEqualTo("200 ok");
        write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
        assertThat(accepted.getInputStream().read()).isEqualTo(-1);
        call();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
        assertThat(nextOutcome()).isEqualTo("200 new");
    }

    @Test
    void aConnectionNearItsKeepAliveTimeoutIsNotReused() throws Exception {
        call();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok");
        assertThat(nextOutcome()).isEqualTo("200 ok");
        call();
        accept();
        readRequest();
        assertThat(connections.openedCount()).isEqualTo(2);
    }

    /** Guards against idle connections that leave a server no room for the connections of others. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void noMoreConnectionsStayIdleThanAllowed(int allowed) throws Exception {
        maxIdleConnections = allowed;
        List<Socket> open = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            call();
            accept();
            readRequest();
            open.add(accepted);
        }
        for (Socket connection : open) {
            accepted = connection;
            write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            assertThat(nextOutcome()).isEqualTo("200 ok");
        }
        assertThat(group.next().submit(connections::idleCount).get()).isEqualTo(allowed);
        assertThat(group.next().submit(connections::excessCount).get()).isEqualTo(3 - allowed);
        for (Socket excess : open.subList(0, 3 - allowed)) {
            assertThat(excess.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void connectionsStayWithinALimitThatShrinks() throws Exception {
        call();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assertThat(nextOutcome()).isEqualTo("200 ok");
        maxIdleConnections = 0;
        group.next()
                .submit(() -> connections.closeIdleLongerThan(MAX_IDLE_TIME))
                .get();
        assertThat(accepted.getInputStream().read()).isEqualTo(-1);
    }

    /** Guards against cancelled requests that are delivered later, as an orderly close would still transmit what was written. */
    @Test
    void aCancelledCallResetsItsConnection() throws Exception {
        Future<HttpCall> sent = group.next().submit(() -> send());
        accept();
        readRequest();
        group.next().submit(sent.get()::cancel).sync();
        assertThatThrownBy(() -> accepted.getInputStream().read())
                .isInstanceOf(SocketException.class)
                .hasMessageContaining("reset");
        assertThat(outcomes).isEmpty();
    }

    private void callWithBodyBeyondAllBuffers() {
        HttpCallRequest request = new HttpCallRequest("POST", "/x", List.of(), new byte[BYTES_BEYOND_ALL_BUFFERS]);
        group.next().execute(() -> send(request));
    }

    /** Guards against a call that is sent after the rest of a body which a server that has answered early may never read. */
    @Test
    void aConnectionWhoseServerAnswersBeforeTheBodyIsWrittenIsNotReused() throws Exception {
        callWithBodyBeyondAllBuffers();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly");
        assertThat(nextOutcome()).isEqualTo("200 early");
        call();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assertThat(nextOutcome()).isEqualTo("200 ok");
        assertThat(connections.openedCount()).isEqualTo(2);
        assertThat(outcomes).isEmpty();
    }

    /** How a server ends its connection while the request is still being written. */
    enum EarlyEnd {
        RESET("BROKEN"),
        CLOSE_BEFORE_UNREAD_BYTES("BROKEN"),
        ORDERLY_THEN_RESET("BROKEN"),
        ORDERLY_WITHOUT_READING_ON("BROKEN"),
        ORDERLY_THEN_READING_ON("200 part");

        private final String outcome;

        EarlyEnd(String outcome) {
            this.outcome = outcome;
        }

        private void perform(Socket socket) throws IOException, InterruptedException {
            switch (this) {
                case RESET -> {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                case CLOSE_BEFORE_UNREAD_BYTES -> socket.close();
                case ORDERLY_THEN_RESET -> {
                    socket.shutdownOutput();
                    TimeUnit.MILLISECONDS.sleep(PAUSE_BEFORE_RESET_MILLIS);
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                case ORDERLY_THEN_READING_ON -> {
                    socket.shutdownOutput();
                    socket.getInputStream().skipNBytes(BYTES_BEYOND_ALL_BUFFERS);
                }
                default -> socket.shutdownOutput();
            }
        }
    }

    /** Guards against a part of an answer without a length that is taken for all of it, since a write has met the reset first. */
    @ParameterizedTest
    @CsvSource({
        "RESET, 0",
        "RESET, 20",
        "RESET, 200",
        "CLOSE_BEFORE_UNREAD_BYTES, 0",
        "CLOSE_BEFORE_UNREAD_BYTES, 20",
        "ORDERLY_THEN_RESET, 0",
        "ORDERLY_THEN_RESET, 20",
        "ORDERLY_WITHOUT_READING_ON, 0",
        "ORDERLY_THEN_READING_ON, 0",
        "ORDERLY_THEN_READING_ON, 20"
    })
    void anAnswerWithoutALengthIsWholeOnlyIfItsRequestIsWrittenAndItsServerEndsIt(EarlyEnd end, int pauseMillis)
            throws Exception {
        callWithBodyBeyondAllBuffers();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\n\r\npart");
        TimeUnit.MILLISECONDS.sleep(pauseMillis);
        end.perform(accepted);
        assertThat(nextOutcome()).isEqualTo(end.outcome);
        assertThat(outcomes).isEmpty();
    }

    /** Guards against a connection that its server has closed and that a call is sent on. */
    @Test
    void aConnectionThatItsServerClosesWhileIdleIsNotReused() throws Exception {
        call();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assertThat(nextOutcome()).isEqualTo("200 ok");
        accepted.shutdownOutput();
        assertThat(accepted.getInputStream().read()).isEqualTo(-1);
        assertThat(connections.idleCount()).isZero();
    }

    /** Guards against an answer that is lost since its server closes the connection without reading the rest of the body. */
    @Test
    void anAnswerBeforeTheBodyIsWrittenIsReceivedThoughTheServerCloses() throws Exception {
        callWithBodyBeyondAllBuffers();
        accept();
        readRequest();
        write("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy");
        accepted.close();
        assertThat(nextOutcome()).isEqualTo("503 busy");
        assertThat(outcomes).isEmpty();
    }

    /**
     * Guards against a connection that is used again while the answer to a call is still to come, so that each further call gets the
     * answer to the one before it.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\n\r\nextra",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nextra\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nextra\r\n",
                "Content-Length: 9\r\n\r\nextra",
                "Content-Length: 0\r\n\r\n",
                "\r\nextra"
            })
    void aConnectionWithAnAnswerToAnotherCallIsResetAtOnce(String framingAndBody) throws Exception {
        headDecision = HeadDecision.reject("the answer is to another call");
        call();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\n" + framingAndBody);
        assertThat(nextOutcome()).isEqualTo("BROKEN");
        assertThatThrownBy(() -> accepted.getInputStream().read())
                .isInstanceOf(SocketException.class)
                .hasMessageContaining("reset");
        headDecision = HeadDecision.receive();
        call();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assertThat(nextOutcome()).isEqualTo("200 ok");
        assertThat(outcomes).isEmpty();
    }

    /** Guards against a new connection after each answer whose body is not wanted. */
    @Test
    void aConnectionIsReusedAfterADiscardedBody() throws Exception {
        headDecision = HeadDecision.discardBody();
        call();
        accept();
        readRequest();
        write("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy");
        while (group.next().submit(connections::idleCount).get() == 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        headDecision = HeadDecision.receive();
        call();
        readRequest();
        write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assertThat(nextOutcome()).isEqualTo("200 ok");
        assertThat(outcomes).isEmpty();
    }

    private void sendNamed(String id) throws Exception {
        group.next()
                .submit(() -> connections.send(
                        address(),
                        GET,
                        new ConnectionReuse(MAX_IDLE_TIME, () -> maxIdleConnections, ResponseMatching.BY_LISTENER)
                                .withCallId(id),
                        new OutcomeRecorder()))
                .get();
    }

    private void awaitIdle(int expected) throws Exception {
        while (group.next().submit(connections::idleCount).get() != expected) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private void discardResponse(String id) throws Exception {
        headDecision = HeadDecision.discardBody();
        sendNamed(id);
        if (accepted == null) {
            accept();
        }
        readRequest();
        write("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy");
    }

    /** Guards against a copy of a discarded response that is taken for the response to the same call sent again. */
    @ParameterizedTest
    @CsvSource({"same, 2", "other, 1"})
    void aCallIsNotSentAgainOnTheConnectionOfItsDiscardedResponse(String nextId, long opened) throws Exception {
        discardResponse("same");
        awaitIdle(1);
        headDecision = HeadDecision.receive();
        sendNamed(nextId);
        assertThat(connections.openedCount()).isEqualTo(opened);
    }

    /** Guards against memory that grows with each response that a connection discards. */
    @Test
    void aConnectionIsClosedAfterManyDiscardedResponses() throws Exception {
        for (int number = 0; number <= 64; number++) {
            discardResponse("call-" + number);
            awaitIdle(number < 64 ? 1 : 0);
        }
        assertThat(connections.openedCount()).isEqualTo(1);
        assertThat(accepted.getInputStream().read()).isEqualTo(-1);
    }

    /** Guards against sending a call, when another ends, on a connection whose surplus bytes are read but not yet seen. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold",
                "HTTP/1.1 200 OK\r\nContent-Le",
                "not a response"
            })
    void aCallThatIsSentAsAnotherEndsDoesNotGetBytesReadWithItsAnswer(String surplus) throws Exception {
        group.next()
                .execute(() -> connections.send(
                        address(),
                        new HttpCallRequest("GET", "/x", List.of(), new byte[0]),
                        new ConnectionReuse(MAX_IDLE_TIME, () -> maxIdleConnections, ResponseMatching.BY_ORDER),
                        new OutcomeRecorder() {
                            @Override
                            public void onEnd() {
                                super.onEnd();
                                send();
                            }
                        }));
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + surplus);
        assertThat(nextOutcome()).isEqualTo("200 ok");
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
        assertThat(nextOutcome()).isEqualTo("200 new");
    }

    @Test
    void anAnswerToHeadHasNoBodyWhateverItsLength() throws Exception {
        group.next().execute(() -> send(new HttpCallRequest("HEAD", "/x", List.of(), new byte[0])));
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
        assertThat(nextOutcome()).isEqualTo("200 ");
        call();
        readRequest();
        write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assertThat(nextOutcome()).isEqualTo("200 ok");
    }

    /** Guards against writing the rest of a long body to a server whose early answer was to another call. */
    @Test
    void aConnectionIsResetThoughTheBodyOfItsCallIsNotWritten() throws Exception {
        headDecision = HeadDecision.reject("the answer is to another call");
        callWithBodyBeyondAllBuffers();
        accept();
        readRequest();
        write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
        assertThat(nextOutcome()).isEqualTo("BROKEN");
        assertThatThrownBy(() -> accepted.getInputStream().skipNBytes(BYTES_BEYOND_ALL_BUFFERS))
                .isInstanceOf(SocketException.class)
                .hasMessageContaining("reset");
        assertThat(outcomes).isEmpty();
    }

    /** Guards against a response with a status that HTTP does not have, which is taken for the answer to a call or for an interim one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 2\r\n\r\nok",
                "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                "Content-Length: 0\r\n\r\n",
                "Connection: Upgrade\r\nUpgrade: other\r\nContent-Length: 2\r\n\r\nok",
                "\r\nok"
            })
    void onlyStatusesOfHttpAreAnswers(String framingAndBody) throws Exception {
        SoftAssertions softly = new SoftAssertions();
        for (int status = 0; status <= 999; status++) {
            boolean isInterim = status >= 100 && status < 200 && status != 101;
            String text = String.format(Locale.ROOT, "%03d", status);
            String outcome = outcomeOf(text + " Odd\r\n" + (isInterim ? "\r\n" + FINAL_RESPONSE : framingAndBody));
            String body = framingAndBody.contains("ok") && status != 204 && status != 304 ? "ok" : "";
            String expected = isInterim ? "200 final" : status >= 200 && status < 600 ? status + " " + body : "BROKEN";
            softly.assertThat(outcome).as(text).isEqualTo(expected);
            accepted.close();
        }
        softly.assertAll();
    }

    /** Guards against a response whose status is no number of three digits and is read as a number all the same. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "2",
                "20",
                "+20",
                "+200",
                "-20",
                "-200",
                "0200",
                "2000",
                "1000",
                "00200",
                "2OO",
                "2e2",
                "200.",
                "0xC8",
                "OK",
                "\u00b2\u00b2\u00b2",
                "\u0662\u0660\u0660",
                "4294967496"
            })
    void aStatusThatIsNoNumberOfThreeDigitsIsBroken(String status) throws Exception {
        assertThat(outcomeOf(status + " OK\r\nContent-Length: 2\r\n\r\nok")).isEqualTo("BROKEN");
        assertThat(accepted.getInputStream().read()).isEqualTo(-1);
        assertThat(group.next().submit(connections::idleCount).get()).isZero();
    }

    /** Gets the outcome of a call on a connection of its own. */
    private String outcomeOf(String responseAfterVersion) throws Exception {
        call();
        accept();
        readRequest();
        write("HTTP/1.1 " + responseAfterVersion);
        accepted.shutdownOutput();
        String outcome = nextOutcome();
        group.next().submit(() -> connections.closeIdleTo(address())).get();
        return outcome;
    }
}
