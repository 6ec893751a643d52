package org.geraniumreach.model.record;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.Names;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServiceName;
import org.geraniumreach.model.TargetId;

/**
 * Parses the JSON of records in all schema versions that this program knows.
 *
 * <p>Contract: unknown fields are ignored, because a newer program may have written the stored record; {@link
 * #requireNoUnknownFields} is for submissions, where an unknown field is an error. Every fault is reported with its path.
 * Stateless and safe for use by several threads.
 */
public final class RecordReader {

    /** The field that holds the schema version of a record. */
    public static final String SCHEMA_VERSION = "schemaVersion";

    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private static final Map<String, Set<String>> FIELDS_BY_KIND_AND_VERSION = Map.of(
            "account1", Set.of("rate", "burst"),
            "account2", Set.of("tokensPerSecond", "burstTokens", "priority"),
            "key1", Set.of("account", "digest"),
            "adapter1", Set.of("baseModel", "versions"),
            "assignment1", Set.of("account", "adapter"),
            "assignment2", Set.of("account", "adapters"),
            "target1", Set.of("failureDomain", "baseModel", "service", "slots", "checksFence"),
            "service1", Set.of("operations"));

    private RecordReader() {}

    /**
     * Parses the JSON of a record.
     *
     * @param text the JSON, not null
     * @return the JSON object, not null
     * @throws RecordException if the text is not a JSON object with a schema version
     */
    public static JsonNode parse(String text) throws RecordException {
        JsonNode node;
        try {
            node = MAPPER.readTree(text);
        } catch (JsonProcessingException malformed) {
            throw RecordException.invalid("", "not JSON: " + malformed.getOriginalMessage());
        }
        if (!node.isObject()) {
            throw RecordException.invalid("", "a record is an object");
        }
        schemaVersion(node);
        return node;
    }

    /**
     * Requires that a record has only fields of its schema version.
     *
     * @param kind the kind of the record, not null
     * @param record the record, not null
     * @throws RecordException naming the first unknown field
     */
    public static void requireNoUnknownFields(RecordKind kind, JsonNode record) throws RecordException {
        List<String> unknown = unknownFields(kind, record);
        if (!unknown.isEmpty()) {
            Set<String> known = FIELDS_BY_KIND_AND_VERSION.get(kind.label() + schemaVersion(record));
            throw RecordException.invalid(
                    unknown.get(0),
                    "unknown field; known are " + known.stream().sorted().toList());
        }
    }

    /**
     * Gets the fields of a record that its schema version does not define.
     *
     * @param kind the kind of the record, not null
     * @param record the record, not null
     * @return the fields in document order, not null
     * @throws RecordException if the schema version is not known
     */
    public static List<String> unknownFields(RecordKind kind, JsonNode record) throws RecordException {
        Set<String> known = FIELDS_BY_KIND_AND_VERSION.get(kind.label() + requireKnownVersion(kind, record));
        List<String> unknown = fieldNames(record);
        unknown.removeIf(field -> field.equals(SCHEMA_VERSION) || known.contains(field));
        return unknown;
    }

    /**
     * Parses a client account.
     *
     * @param name the name of the record, not null
     * @param record the record, not null
     * @return the account, not null
     * @throws RecordException if the record is invalid
     */
    public static ClientAccount account(String name, JsonNode record) throws RecordException {
        boolean isFirstVersion = requireKnownVersion(RecordKind.ACCOUNT, record) == 1;
        long rate = requirePositive(record, isFirstVersion ? "rate" : "tokensPerSecond");
        long burst = requirePositive(record, isFirstVersion ? "burst" : "burstTokens");
        int priority = isFirstVersion || !record.has("priority")
                ? ClientAccount.DEFAULT_PRIORITY
                : (int) requireInRange(record, "priority", 0, ClientAccount.HIGHEST_PRIORITY);
        return new ClientAccount(AccountId.of(name), rate, burst, priority);
    }

    /**
     * Parses a key.
     *
     * @param name the name of the record, not null
     * @param record the record, not null
     * @return the key, not null
     * @throws RecordException if the record is invalid
     */
    public static AccessKey key(String name, JsonNode record) throws RecordException {
        requireKnownVersion(RecordKind.KEY, record);
        AccountId account = parseText(record, "account", AccountId::of);
        return new AccessKey(name, account, parseText(record, "digest", KeyDigest::ofHexadecimal));
    }

    /**
     * Parses an adapter.
     *
     * @param name the name of the record, not null
     * @param record the record, not null
     * @return the adapter, not null
     * @throws RecordException if the record is invalid
     */
    public static Adapter adapter(String name, JsonNode record) throws RecordException {
        requireKnownVersion(RecordKind.ADAPTER, record);
        return new Adapter(name, requireNameField(record, "baseModel"), requireNameList(record, "versions"));
    }

    /**
     * Parses an assignment.
     *
     * @param name the name of the record, not null
     * @param record the record, not null
     * @return the assignment, not null
     * @throws RecordException if the record is invalid
     */
    public static Assignment assignment(String name, JsonNode record) throws RecordException {
        boolean isFirstVersion = requireKnownVersion(RecordKind.ASSIGNMENT, record) == 1;
        AccountId account = parseText(record, "account", AccountId::of);
        Set<String> adapters =
                isFirstVersion ? Set.of(requireNameField(record, "adapter")) : requireNameList(record, "adapters");
        return new Assignment(name, account, adapters);
    }

    /**
     * Parses a target.
     *
     * @param name the name of the record, not null
     * @param record the record, not null
     * @return the target, not null
     * @throws RecordException if the record is invalid
     */
    public static Target target(String name, JsonNode record) throws RecordException {
        requireKnownVersion(RecordKind.TARGET, record);
        Optional<String> baseModel =
                record.has("baseModel") ? Optional.of(requireNameField(record, "baseModel")) : Optional.empty();
        Optional<ServiceName> service =
                record.has("service") ? Optional.of(parseText(record, "service", ServiceName::of)) : Optional.empty();
        if (baseModel.isPresent() == service.isPresent()) {
            throw RecordException.invalid("baseModel", "a target has either a baseModel or a service");
        }
        int slots = baseModel.isPresent() ? (int) requireInRange(record, "slots", 1, 100_000) : 0;
        FailureDomain domain = parseText(record, "failureDomain", FailureDomain::of);
        return new Target(TargetId.of(name), domain, baseModel, service, slots, requireBoolean(record, "checksFence"));
    }

    /**
     * Parses a plain service.
     *
     * @param name the name of the record, not null
     * @param record the record, not null
     * @return the service, not null
     * @throws RecordException if the record is invalid
     */
    public static Service service(String name, JsonNode record) throws RecordException {
        requireKnownVersion(RecordKind.SERVICE, record);
        JsonNode operations = record.path("operations");
        if (!operations.isObject() || operations.isEmpty()) {
            throw RecordException.invalid("operations", "must be an object with at least one operation");
        }
        Map<String, Service.Operation> parsed = new LinkedHashMap<>();
        for (String operation : fieldNames(operations)) {
            JsonNode node = operations.get(operation);
            requireName("operations." + operation, operation);
            if (!node.isObject()) {
                throw RecordException.invalid("operations." + operation, "must be an object");
            }
            parsed.put(
                    operation,
                    new Service.Operation(requireBoolean(node, "repeatable"), requirePositive(node, "tokens")));
        }
        return new Service(ServiceName.of(name), parsed);
    }

    /**
     * Validates a record.
     *
     * @param key the key of the record, not null
     * @param record the record, not null
     * @throws RecordException if the record is invalid
     */
    public static void check(RecordKey key, JsonNode record) throws RecordException {
        String name = key.name();
        switch (key.kind()) {
            case ACCOUNT -> account(name, record);
            case KEY -> key(name, record);
            case ADAPTER -> adapter(name, record);
            case ASSIGNMENT -> assignment(name, record);
            case TARGET -> target(name, record);
            case SERVICE -> service(name, record);
            default -> throw new IllegalStateException("unhandled kind " + key.kind());
        }
    }

    private static int requireKnownVersion(RecordKind kind, JsonNode record) throws RecordException {
        int version = schemaVersion(record);
        if (version > kind.newestSchemaVersion()) {
            throw new RecordException(
                    ResultCode.SCHEMA_VERSION_UNKNOWN,
                    SCHEMA_VERSION + ": " + version + " of " + kind.label() + " is newer than "
                            + kind.newestSchemaVersion());
        }
        return version;
    }

    private static int schemaVersion(JsonNode record) throws RecordException {
        return (int) requireInRange(record, SCHEMA_VERSION, 1, Integer.MAX_VALUE);
    }

    private static long requirePositive(JsonNode record, String field) throws RecordException {
        return requireInRange(record, field, 1, 1_000_000_000_000L);
    }

    private static long requireInRange(JsonNode record, String field, long minimum, long maximum)
            throws RecordException {
        JsonNode node = record.path(field);
        if (!node.isIntegralNumber() || !node.canConvertToLong()) {
            throw RecordException.invalid(field, "must be a whole number from " + minimum + " to " + maximum);
        }
        long value = node.longValue();
        if (value < minimum || value > maximum) {
            throw RecordException.invalid(field, value + " is not from " + minimum + " to " + maximum);
        }
        return value;
    }

    private static boolean requireBoolean(JsonNode record, String field) throws RecordException {
        JsonNode node = record.path(field);
        if (!node.isBoolean()) {
            throw RecordException.invalid(field, "must be true or false");
        }
        return node.booleanValue();
    }

    private static String requireText(JsonNode record, String field) throws RecordException {
        JsonNode node = record.path(field);
        if (!node.isTextual()) {
            throw RecordException.invalid(field, "must be text");
        }
        return node.textValue();
    }

    private static <T> T parseText(JsonNode record, String field, Function<String, T> factory) throws RecordException {
        String text = requireText(record, field);
        try {
            return factory.apply(text);
        } catch (IllegalArgumentException invalid) {
            throw RecordException.invalid(field, invalid.getMessage());
        }
    }

    private static String requireNameField(JsonNode record, String field) throws RecordException {
        String text = requireText(record, field);
        requireName(field, text);
        return text;
    }

    private static Set<String> requireNameList(JsonNode record, String field) throws RecordException {
        JsonNode node = record.path(field);
        if (!node.isArray() || node.isEmpty()) {
            throw RecordException.invalid(field, "must be a list with at least one name");
        }
        Set<String> names = new HashSet<>();
        for (JsonNode element : node) {
            requireName(field, element.isTextual() ? element.textValue() : null);
            names.add(element.textValue());
        }
        return names;
    }

    private static void requireName(String path, String name) throws RecordException {
        if (!Names.isName(name)) {
            throw RecordException.invalid(path, "not a valid name: '" + name + "'");
        }
    }

    private static List<String> fieldNames(JsonNode node) {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }
}
