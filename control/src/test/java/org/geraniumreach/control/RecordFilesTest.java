package org.geraniumreach.control;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.model.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class RecordFilesTest {

    private static final String VALID_YAML =
            """
            kind: account
            name: acme
            schemaVersion: 2
            tokensPerSecond: 100
            burstTokens: 200
            ---
            # nothing in this document
            ---
            kind: adapter
            name: welder
            schemaVersion: 1
            baseModel: base
            versions: [v1, "2"]
            """;
    private static final String FUZZ_CHARACTERS =
            "kind: account\nname: a\nschemaVersion: 1\nrate: 1e9\n- [{}]&a*a!!x|>'\"%@`\0\t---\n...\n<<: *a\n? !!int 0x ";

    @Test
    void documentsAreReadInFileOrder() throws ControlException {
        List<RecordDocument> documents = RecordFiles.parse("file", VALID_YAML);
        assertThat(documents)
                .extracting(document -> document.key().toString())
                .containsExactly("account/acme", "adapter/welder");
        assertThat(documents.get(1).record().toString())
                .isEqualTo("{\"schemaVersion\":1,\"baseModel\":\"base\",\"versions\":[\"v1\",\"2\"]}");
    }

    /*
     * Failure: a malformed file ends the command with a stack trace or is accepted in part. Any text must yield either
     * records or the checked exception.
     */
    @Property(tries = 5000, seed = "6")
    void anyTextYieldsRecordsOrTheCheckedException(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder(random.nextBoolean() ? VALID_YAML : "");
        for (int mutation = 0; mutation < 1 + random.nextInt(8); mutation++) {
            int from = random.nextInt(FUZZ_CHARACTERS.length());
            String fragment =
                    FUZZ_CHARACTERS.substring(from, Math.min(FUZZ_CHARACTERS.length(), from + 1 + random.nextInt(12)));
            int position = random.nextInt(text.length() + 1);
            text.replace(
                    position,
                    Math.min(text.length(), position + random.nextInt(4)),
                    fragment.repeat(1 + random.nextInt(3)));
        }
        try {
            RecordFiles.parse("file", text.toString());
        } catch (ControlException refused) {
            assertThat(refused.getMessage()).startsWith("file");
            assertThat(refused.exitCode()).isEqualTo(ExitCode.INVALID);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    kind: accounts                                       | kind
                    kind: 7                                              | kind
                    {kind: account, name: a b, schemaVersion: 1}         | name
                    {kind: account, name: a}                             | schemaVersion
                    {kind: account, name: a, schemaVersion: one}         | schemaVersion
                    {kind: account, name: a, schemaVersion: 1, rate: 1s} | rate
                    {kind: account, name: a, schemaVersion: 1, rate: 0}  | rate
                    {kind: account, name: a, kind: key}                  | Duplicate
                    [account]                                            | object
                    'kind: account: x'                                   | not YAML
                    """)
    void anErrorNamesItsLocationAndCause(String yaml, String expectedText) {
        ControlException refused =
                catchThrowableOfType(ControlException.class, () -> RecordFiles.parse("records.yaml", yaml));
        assertThat(refused.getMessage()).startsWith("records.yaml").contains(expectedText);
    }

    @Test
    void deepNestingIsRefused() {
        ControlException refused =
                catchThrowableOfType(ControlException.class, () -> RecordFiles.parse("file", "[".repeat(100_000)));
        assertThat(refused.exitCode()).isEqualTo(ExitCode.INVALID);
    }

    @Test
    void aFileThatIsNotTextIsRefused(@TempDir Path directory) throws Exception {
        Path file = directory.resolve("records.yaml");
        Files.write(file, "kind: \u00e9".getBytes(StandardCharsets.ISO_8859_1));
        ControlException refused =
                catchThrowableOfType(ControlException.class, () -> RecordFiles.read(List.of(file.toString())));
        assertThat(refused.code()).isEqualTo(ResultCode.RECORD_INVALID);
    }
}
