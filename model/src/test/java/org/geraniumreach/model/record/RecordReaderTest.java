package org.geraniumreach.model.record;

import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.model.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;

class RecordReaderTest {

    private static final String[] RECORDS = {
        "{\"schemaVersion\":1,\"rate\":5,\"burst\":9}",
        "{\"schemaVersion\":2,\"tokensPerSecond\":5,\"burstTokens\":9,\"priority\":3}",
        "{\"schemaVersion\":1,\"account\":\"a\",\"digest\":\"" + "0".repeat(64) + "\"}",
        "{\"schemaVersion\":1,\"baseModel\":\"b\",\"versions\":[\"v1\"]}",
        "{\"schemaVersion\":2,\"account\":\"a\",\"adapters\":[\"x\"]}",
        "{\"schemaVersion\":1,\"failureDomain\":\"d\",\"service\":\"s\",\"checksFence\":true}",
        "{\"schemaVersion\":1,\"operations\":{\"book\":{\"repeatable\":false,\"tokens\":1}}}"
    };
    private static final String FRAGMENTS =
            "{\"schemaVersion\":99999999999,[null,true,-1,1e999,0.5,\"\\u0000\\ud800\",{}],\"rate\":\"5\"}\0 //x";

    /*
     * Failure: an invalid record stops all instances at once, because all read the same log. Any record content must be
     * parsed or refused with the checked exception and a result code for submissions.
     */
    @Property(tries = 20_000, seed = "7")
    void malformedRecordsThrowOnlyRecordException(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder(RECORDS[random.nextInt(RECORDS.length)]);
        for (int change = 0; change < random.nextInt(4); change++) {
            int from = random.nextInt(FRAGMENTS.length());
            String fragment = FRAGMENTS.substring(from, Math.min(FRAGMENTS.length(), from + random.nextInt(10)));
            int at = random.nextInt(text.length() + 1);
            text.replace(at, Math.min(text.length(), at + random.nextInt(8)), fragment);
        }
        RecordKind kind = RecordKind.values()[random.nextInt(RecordKind.values().length)];
        try {
            JsonNode record = RecordReader.parse(text.toString());
            RecordReader.check(RecordKey.of(kind, "name"), record);
            RecordReader.requireNoUnknownFields(kind, record);
        } catch (RecordException refused) {
            assertThat(refused.code()).isIn(ResultCode.RECORD_INVALID, ResultCode.SCHEMA_VERSION_UNKNOWN);
            assertThat(refused.getMessage()).isNotBlank();
        }
    }
}
