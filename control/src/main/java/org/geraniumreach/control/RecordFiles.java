package org.geraniumreach.control;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import org.geraniumreach.model.Names;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.record.RecordException;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;
import org.geraniumreach.model.record.RecordReader;
import org.yaml.snakeyaml.LoaderOptions;

/**
 * Reads and validates YAML files of records.
 *
 * <p>Each document of a file has a {@code kind}, a {@code name}, a {@code schemaVersion} and the fields of its kind. All
 * documents are validated before any record is returned, and every error names the file, the document and the path.
 * Stateless and thread-safe.
 */
final class RecordFiles {

    private static final int MAX_FILE_BYTES = 64 * 1024 * 1024;
    private static final ObjectMapper MAPPER = new ObjectMapper(
                    YAMLFactory.builder().loaderOptions(loaderOptions()).build())
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private RecordFiles() {}

    private static LoaderOptions loaderOptions() {
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(MAX_FILE_BYTES);
        return options;
    }

    static List<RecordDocument> read(List<String> files) throws ControlException {
        List<RecordDocument> documents = new ArrayList<>();
        for (String file : files) {
            documents.addAll(parse(file, readFile(file)));
        }
        if (documents.isEmpty()) {
            throw ControlException.usage("no records in " + files);
        }
        return documents;
    }

    private static String readFile(String file) throws ControlException {
        Path path = Path.of(file);
        try {
            if (Files.size(path) > MAX_FILE_BYTES) {
                throw ControlException.of(
                        ResultCode.RECORD_INVALID, file + ": larger than " + MAX_FILE_BYTES + " bytes");
            }
            return Files.readString(path);
        } catch (NoSuchFileException missing) {
            throw ControlException.usage(file + ": no such file");
        } catch (CharacterCodingException malformed) {
            throw ControlException.of(ResultCode.RECORD_INVALID, file + ": not UTF-8 text");
        } catch (IOException unreadable) {
            throw ControlException.usage(file + ": cannot be read: " + unreadable.getMessage());
        }
    }

    static List<RecordDocument> parse(String file, String yaml) throws ControlException {
        List<RecordDocument> documents = new ArrayList<>();
        int number = 0;
        try (MappingIterator<JsonNode> nodes = MAPPER.readerFor(JsonNode.class).readValues(yaml)) {
            while (nodes.hasNextValue()) {
                String location = file + " document " + ++number;
                JsonNode node = nodes.nextValue();
                if (!isEmpty(node)) {
                    documents.add(toDocument(location, node));
                }
            }
        } catch (JsonProcessingException malformed) {
            throw ControlException.of(
                    ResultCode.RECORD_INVALID, file + ": not YAML: " + malformed.getOriginalMessage());
        } catch (IOException impossible) {
            throw new IllegalStateException("reading from memory failed", impossible);
        }
        return documents;
    }

    /** Returns whether a document has no content; Jackson reads such a document as null or as empty text. */
    private static boolean isEmpty(JsonNode node) {
        return node.isNull()
                || node.isMissingNode()
                || node.isTextual() && node.textValue().isEmpty();
    }

    private static RecordDocument toDocument(String location, JsonNode node) throws ControlException {
        if (!node.isObject()) {
            throw ControlException.of(ResultCode.RECORD_INVALID, location + ": a record is an object");
        }
        ObjectNode record = node.deepCopy();
        RecordKind kind = RecordKind.ofLabel(requireText(location, record, "kind"))
                .orElseThrow(() -> ControlException.of(
                        ResultCode.RECORD_INVALID,
                        location + ": kind: unknown '" + node.get("kind").asText() + "'"));
        String name = requireText(location, record, "name");
        if (!Names.isName(name)) {
            throw ControlException.of(ResultCode.RECORD_INVALID, location + ": name: not a valid name: '" + name + "'");
        }
        RecordKey key = RecordKey.of(kind, name);
        record.remove(List.of("kind", "name"));
        validate(location, key, record);
        return new RecordDocument(location, key, record);
    }

    private static void validate(String location, RecordKey key, ObjectNode record) throws ControlException {
        try {
            JsonNode parsed = RecordReader.parse(record.toString());
            RecordReader.requireNoUnknownFields(key.kind(), parsed);
            RecordReader.check(key, parsed);
        } catch (RecordException invalid) {
            throw ControlException.of(invalid.code(), location + ": " + key + ": " + invalid.getMessage());
        }
    }

    private static String requireText(String location, ObjectNode record, String field) throws ControlException {
        JsonNode node = record.path(field);
        if (!node.isTextual()) {
            throw ControlException.of(ResultCode.RECORD_INVALID, location + ": " + field + ": must be text");
        }
        return node.textValue();
    }
}
