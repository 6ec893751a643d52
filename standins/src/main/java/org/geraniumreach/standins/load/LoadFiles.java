package org.geraniumreach.standins.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;

/** Reads the settings of runs and writes their results. Stateless and safe for use by several threads. */
public final class LoadFiles {

    private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private LoadFiles() {}

    /**
     * Reads the settings of a run.
     *
     * @param file a YAML file, not null
     * @return the settings, not null
     * @throws IOException if the file cannot be read
     */
    public static LoadSettings read(Path file) throws IOException {
        return YAML.readValue(file.toFile(), LoadSettings.class);
    }

    /**
     * Writes the settings of a run, without the accounts' keys, and its results.
     *
     * @param file the file to write, not null
     * @param settings the settings, not null
     * @param result the results, not null
     * @throws IOException if the file cannot be written
     */
    public static void write(Path file, LoadSettings settings, LoadResult result) throws IOException {
        JSON.writeValue(file.toFile(), toJson(settings, result));
    }

    static ObjectNode toJson(LoadSettings settings, LoadResult result) {
        ObjectNode json = JSON.createObjectNode();
        JsonNode written = JSON.valueToTree(settings);
        List<JsonNode> accounts = new ArrayList<>();
        written.path("accounts").forEach(accounts::add);
        accounts.forEach(account -> ((ObjectNode) account).remove("key"));
        json.set("settings", written);
        json.set("result", JSON.valueToTree(result));
        return json;
    }
}
