package org.geraniumreach.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.function.Predicate;

import org.geraniumreach.ports.InstanceList;
import org.geraniumreach.ports.ListedInstance;
import org.geraniumreach.standins.http.Administration;
import org.geraniumreach.standins.http.Faults;
import org.geraniumreach.standins.http.StandInServer;
import org.geraniumreach.standins.list.InstanceListStandIn;
import org.geraniumreach.standins.service.ServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the instance list client against the stand-in. */
@Timeout(60)
class InstanceListStandInTest {

    private final StandInsFixture fixture = new StandInsFixture();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private InstanceListStandIn standIn;
    private ServiceStandIn probedService;
    private StandInServer administration;
    private URI administrationUrl;
    private InstanceList list;

    @BeforeEach
    void start() throws Exception {
        int port = StandInsFixture.freePort();
        standIn = new InstanceListStandIn(port, 1, fixture.timer);
        list = fixture.clients.instanceList(StandInsFixture.url(port), StandInsFixture.CALL_TIMEOUT);
        int administrationPort = StandInsFixture.freePort();
        administration = Administration.start(administrationPort, List.of(standIn), fixture.timer);
        administrationUrl = StandInsFixture.url(administrationPort);
        int probedPort = StandInsFixture.freePort();
        probedService = new ServiceStandIn(probedPort, 0, fixture.timer);
        administer(
                "/admin/instances",
                "[{\"instance\":\"companion-1\",\"role\":\"companion\",\"failureDomain\":\"zone-1\","
                        + "\"linkAddress\":\"127.0.0.1:9\",\"healthUrl\":\"" + StandInsFixture.url(probedPort)
                        + "/v1/ran\"}]");
    }

    @AfterEach
    void stop() {
        standIn.server().close();
        administration.close();
        probedService.server().close();
        fixture.close();
    }

    @Test
    void anInstanceIsListedWhileItsProbesSucceed() throws Exception {
        await(listed -> listed.size() == 1);
        assertThat(list.read().get(0).linkAddress().getPort()).isEqualTo(9);
        probedService.server().setFaults(new Faults(true, false, 0, false, false, false, false, 0, "", 0));
        await(List::isEmpty);
    }

    @Test
    void anInstanceThatLeavesIsListedAsLeaving() throws Exception {
        await(listed -> listed.size() == 1);
        administer("/admin/leaving", "{\"instance\":\"companion-1\"}");
        await(listed -> listed.size() == 1 && listed.get(0).leaving());
    }

    private void await(Predicate<List<ListedInstance>> condition) throws Exception {
        while (!condition.test(list.read())) {
            Thread.sleep(10);
        }
    }

    private void administer(String path, String body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(administrationUrl.resolve(path))
                .POST(BodyPublishers.ofString(body))
                .build();
        assertThat(client.send(request, BodyHandlers.ofString()).statusCode()).isEqualTo(200);
    }
}
