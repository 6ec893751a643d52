package org.geraniumreach.control;

import java.io.PrintStream;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;

/**
 * Prints results as text or as JSON.
 *
 * <p>Not thread-safe; confined to the thread that runs the command.
 */
final class Printer {

    private static final ObjectMapper YAML =
            new ObjectMapper(new YAMLFactory().enable(YAMLGenerator.Feature.MINIMIZE_QUOTES));

    private final PrintStream out;
    private final PrintStream error;
    private final Options.Output output;

    Printer(PrintStream out, PrintStream error, Options.Output output) {
        this.out = out;
        this.error = error;
        this.output = output;
    }

    private boolean isJson() {
        return output == Options.Output.JSON;
    }

    /**
     * Prints the result of a submission or withdrawal.
     *
     * @param response the entry's response, not null
     */
    void printChange(ObjectNode response) {
        if (isJson()) {
            out.println(response);
            return;
        }
        JsonNode change = response.path("change");
        out.printf(
                "%s/%s %s as revision %d, held by %d other entries (operation %s)%n",
                change.path("kind").asText(),
                change.path("name").asText(),
                change.path("withdrawn").asBoolean() ? "withdrawn" : "accepted",
                change.path("revision").asLong(),
                response.path("otherEntries").asInt(),
                response.path("operation").asText());
    }

    void printList(ObjectNode response) {
        if (isJson()) {
            out.println(response);
            return;
        }
        response.path("records")
                .forEach(record -> out.printf(
                        "%-40s %d%n",
                        record.path("name").asText(), record.path("revision").asLong()));
    }

    void printHistory(ObjectNode response) {
        if (isJson()) {
            out.println(response);
            return;
        }
        response.path("changes")
                .forEach(change -> out.printf(
                        "%-8d %-10s %s/%s (operation %s)%n",
                        change.path("revision").asLong(),
                        change.path("withdrawn").asBoolean() ? "withdrawn" : "submitted",
                        change.path("kind").asText(),
                        change.path("name").asText(),
                        change.path("operation").asText()));
    }

    /**
     * Prints a record in a form that can be submitted again.
     *
     * @param response the entry's response, not null
     */
    void printRecord(ObjectNode response) {
        if (isJson()) {
            out.println(response);
            return;
        }
        out.printf("# revision %d%n", response.path("revision").asLong());
        printDocument(response.path("kind").asText(), response.path("name").asText(), response.path("record"));
    }

    void printDocument(String kind, String name, JsonNode record) {
        ObjectNode document = OperatorClient.newObject().put("kind", kind).put("name", name);
        record.fields().forEachRemaining(field -> document.set(field.getKey(), field.getValue()));
        if (isJson()) {
            out.println(document);
        } else {
            out.print(toYaml(document));
        }
    }

    void printTree(ObjectNode response) {
        if (isJson()) {
            out.println(response);
        } else {
            out.print(toYaml(response));
        }
    }

    void printLine(String text) {
        if (!isJson()) {
            out.println(text);
        }
    }

    private static String toYaml(ObjectNode node) {
        try {
            return YAML.writeValueAsString(node);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("a tree that cannot be written", impossible);
        }
    }

    void printFailure(ControlException failure, List<String> recoveryHints) {
        if (isJson()) {
            ObjectNode body = OperatorClient.newObject();
            body.putObject("error")
                    .put("code", failure.code().number())
                    .put("name", failure.code().name())
                    .put("message", failure.getMessage());
            if (failure.currentRecord() != null) {
                body.set("current", failure.currentRecord());
            }
            out.println(body);
            return;
        }
        error.printf(
                "error %d %s: %s%n", failure.code().number(), failure.code().name(), failure.getMessage());
        if (failure.currentRecord() != null) {
            error.printf(
                    "the current record, of revision %d:%n%s",
                    failure.currentRecord().path("revision").asLong(), toYaml(failure.currentRecord()));
        }
        recoveryHints.forEach(error::println);
    }
}
