package org.geraniumreach.standins.load;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.standins.http.Call;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class GenerationRecordsTest {

    @ParameterizedTest
    @CsvSource({
        "SERVED, floor, rewind@v1, ended, true",
        "SERVED, other, rewind@v1, ended, false",
        "SERVED, floor, rewind@v2, ended, false",
        "SERVED, floor, rewind@v1, cancelled, false",
        "REFUSED, floor, rewind@v1, ended, false",
        "FAILED, floor, rewind@v1, cancelled, true",
        "FAILED, other, rewind@v1, cancelled, false"
    })
    void aGenerationPassesIfItRanForItsSenderAsReported(
            Outcome.Verdict verdict, String account, String adapter, String end, boolean passes) {
        GenerationRecords records = new GenerationRecords();
        ObjectNode json = Call.JSON.createObjectNode();
        json.putArray("streams")
                .addObject()
                .put("request", "r")
                .put("account", account)
                .put("adapter", adapter)
                .put("outcome", end);
        records.add(json);
        Outcome outcome = new Outcome(verdict, "", "", "", 0, "");
        SentGeneration sent = new SentGeneration("floor", AdapterReference.of("rewind", "v1"), 0, outcome);
        assertThat(records.check(Map.of("r", sent), List.of()).isEmpty()).isEqualTo(passes);
    }
}
