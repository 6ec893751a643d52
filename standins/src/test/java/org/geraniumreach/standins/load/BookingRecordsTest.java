package org.geraniumreach.standins.load;

import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.standins.http.Call;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class BookingRecordsTest {

    @ParameterizedTest
    @CsvSource({
        "SERVED, 1, true",
        "SERVED, 0, false",
        "SERVED, 2, false",
        "REFUSED, 0, true",
        "REFUSED, 1, false",
        "FAILED, 0, true",
        "FAILED, 1, true",
        "FAILED, 2, false"
    })
    void aBookingPassesIfItRanOnceWhenAnsweredAndNeverWhenRefused(Outcome.Verdict verdict, int runs, boolean passes) {
        BookingRecords records = new BookingRecords();
        records.add(recordsOf("b-1", runs));
        Outcome outcome = new Outcome(verdict, "", "", "", 0, "");
        assertThat(records.check(Map.of("b-1", outcome)).isEmpty()).isEqualTo(passes);
    }

    private static ObjectNode recordsOf(String booking, int runs) {
        ObjectNode json = Call.JSON.createObjectNode();
        ArrayNode array = json.putArray("runs");
        for (int run = 0; run < runs; run++) {
            array.addObject().put("body", "{\"booking\":\"" + booking + "\"}");
        }
        return json;
    }
}
