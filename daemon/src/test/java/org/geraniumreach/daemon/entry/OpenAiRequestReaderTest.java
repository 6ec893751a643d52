package org.geraniumreach.daemon.entry;

import java.time.Duration;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class OpenAiRequestReaderTest {

    private static final GenerationLimits LIMITS =
            new GenerationLimits(100, 20, Duration.ofSeconds(60), 1, Duration.ofSeconds(10));

    private final OpenAiRequestReader requests = new OpenAiRequestReader(LIMITS);
    private final ObjectMapper mapper = new ObjectMapper();

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{}|MALFORMED_REQUEST|prompt: must be text",
                "{'prompt': ''}|MALFORMED_REQUEST|prompt: must not be empty",
                "{'prompt': ['a', 'b'], 'model': 'a@1'}|MALFORMED_REQUEST|prompt: must be text",
                "{'prompt': 'x'}|MALFORMED_REQUEST|model: must be text",
                "{'prompt': 'x', 'model': 'a@1', 'max_tokens': 0}|TOKENS_OUT_OF_RANGE|max_tokens: 0 is not from 1 to 100",
                "{'prompt': 'x', 'model': 'a@1', 'max_tokens': -3}|TOKENS_OUT_OF_RANGE|max_tokens: -3",
                "{'prompt': 'x', 'model': 'a@1', 'max_tokens': 101}|TOKENS_OUT_OF_RANGE|max_tokens: 101",
                "{'prompt': 'x', 'model': 'a@1', 'max_tokens': 99999999999}|TOKENS_OUT_OF_RANGE|max_tokens: 99999999999",
                "{'prompt': 'x', 'model': 'a@1', 'max_tokens': 1.5}|MALFORMED_REQUEST|max_tokens: must be a whole number",
                "{'prompt': 'x', 'model': 'a@1', 'stream': 'yes'}|MALFORMED_REQUEST|stream: must be true or false",
            })
    void invalidCompletionRequestIsRefused(String body, ResultCode code, String message) throws Exception {
        var node = mapper.readTree(body.replace('\'', '"'));
        ServingException refused = catchThrowableOfType(ServingException.class, () -> requests.completion(node));
        assertThat(refused.code()).isEqualTo(code);
        assertThat(refused.executionStatus()).isEqualTo(ExecutionStatus.NO);
        assertThat(refused).hasMessageStartingWith(message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'model': 'a@1'}|messages: must be a list",
                "{'model': 'a@1', 'messages': []}|messages: must be a list",
                "{'model': 'a@1', 'messages': [3]}|role: must be text",
                "{'model': 'a@1', 'messages': [{'role': 'user'}]}|content: must be text",
                "{'model': 'a@1', 'messages': [{'role': 'user', 'content': [{'type': 'image'}]}]}|text: must be text",
            })
    void invalidChatRequestIsRefused(String body, String message) throws Exception {
        var node = mapper.readTree(body.replace('\'', '"'));
        ServingException refused = catchThrowableOfType(ServingException.class, () -> requests.chat(node));
        assertThat(refused.code()).isEqualTo(ResultCode.MALFORMED_REQUEST);
        assertThat(refused).hasMessageStartingWith(message);
    }

    @Test
    void completionIgnoresSamplingParameters() throws Exception {
        var node = mapper.readTree("{\"model\":\"a@1\",\"prompt\":\"x\",\"temperature\":0.3,\"n\":1,\"seed\":7}");
        assertThat(requests.completion(node).maximumTokens()).isEqualTo(20);
    }

    @Test
    void chatPrefixLengthCoversAllMessagesButTheLast() throws Exception {
        var node = mapper.readTree("{\"model\":\"a@1\",\"max_completion_tokens\":5,\"messages\":["
                + "{\"role\":\"user\",\"content\":\"hi\"},"
                + "{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"you\"}]}]}");
        GenerationRequest request = requests.chat(node);
        assertThat(request.prompt()).isEqualTo("user: hi\nuser: you\n");
        assertThat(request.prefixLength()).isEqualTo("user: hi\n".length());
        assertThat(request.maximumTokens()).isEqualTo(5);
    }
}
