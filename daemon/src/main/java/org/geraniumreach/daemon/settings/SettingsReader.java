package org.geraniumreach.daemon.settings;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import org.geraniumreach.daemon.settings.SettingsException.Mistake;

/**
 * Reads and validates a settings record from YAML.
 *
 * <p>Contract: all mistakes are reported together. Unknown names, duplicate names and numbers without a unit are
 * mistakes, because otherwise a default would silently stay in force. An instance is used for one call only.
 */
public final class SettingsReader {

    private static final JsonMapper YAML = JsonMapper.builder(new YAMLFactory())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private final List<Mistake> mistakes = new ArrayList<>();

    private SettingsReader() {}

    /**
     * Reads settings.
     *
     * @param type the settings record, not null
     * @param yaml the text, not null
     * @param <T> the settings record
     * @return the settings, not null
     * @throws SettingsException with every mistake found
     */
    public static <T extends Record> T read(Class<T> type, String yaml) throws SettingsException {
        SettingsReader reader = new SettingsReader();
        Optional<T> settings = reader.readRecord(type, "", reader.parse(yaml));
        if (!reader.mistakes.isEmpty()) {
            throw new SettingsException(reader.mistakes);
        }
        return settings.orElseThrow();
    }

    /**
     * Reads one top-level setting and ignores all others.
     *
     * @param type the type of the setting, not null
     * @param name the name of the setting, not null
     * @param yaml the text, not null
     * @param <T> the type of the setting
     * @return the value, not null
     * @throws SettingsException if the setting is missing or invalid
     */
    public static <T> T readOne(Class<T> type, String name, String yaml) throws SettingsException {
        JsonNode node = new SettingsReader().parse(yaml).path(name);
        ValueFormat format = format(type);
        try {
            return type.cast(format.reader().apply(node.asText()));
        } catch (IllegalArgumentException invalid) {
            throw new SettingsException(List.of(new Mistake(name, "must be " + format.description())));
        }
    }

    private JsonNode parse(String yaml) {
        try {
            JsonNode node = YAML.readTree(yaml);
            return node == null || node.isNull() ? MissingNode.getInstance() : node;
        } catch (JsonProcessingException malformed) {
            addMistake("", "not YAML: " + malformed.getOriginalMessage());
            return MissingNode.getInstance();
        }
    }

    private <T extends Record> Optional<T> readRecord(Class<T> type, String path, JsonNode node) {
        if (!node.isMissingNode() && !node.isObject()) {
            addMistake(path, "must hold names and values");
            return Optional.empty();
        }
        RecordComponent[] components = type.getRecordComponents();
        reportUnknownNames(path, node, components);
        Object[] values = new Object[components.length];
        int mistakesBefore = mistakes.size();
        for (int index = 0; index < components.length; index++) {
            values[index] = readComponent(components[index], path, node);
        }
        return mistakes.size() > mistakesBefore ? Optional.empty() : construct(type, path, values);
    }

    private void reportUnknownNames(String path, JsonNode node, RecordComponent[] components) {
        Set<String> known =
                Arrays.stream(components).map(RecordComponent::getName).collect(Collectors.toSet());
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.contains(name)) {
                addMistake(
                        join(path, name),
                        "unknown; known are " + known.stream().sorted().toList());
            }
        }
    }

    private Object readComponent(RecordComponent component, String path, JsonNode parent) {
        String componentPath = join(path, component.getName());
        JsonNode node = parent.path(component.getName());
        Class<?> type = component.getType();
        if (type.isRecord() && ValueFormat.of(type).isEmpty()) {
            return readRecord(type.asSubclass(Record.class), componentPath, node)
                    .orElse(null);
        }
        Setting setting = component.getAnnotation(Setting.class);
        if (type == List.class) {
            return readList(component, setting, componentPath, node);
        }
        if (type == Optional.class) {
            return node.isMissingNode()
                    ? Optional.empty()
                    : readText(elementType(component), setting, componentPath, node);
        }
        if (node.isMissingNode() && setting.value().isEmpty()) {
            addMistake(componentPath, "must be given: " + format(type).description());
            return null;
        }
        return node.isMissingNode()
                ? format(type).reader().apply(setting.value())
                : readText(type, setting, componentPath, node).orElse(null);
    }

    private List<Object> readList(RecordComponent component, Setting setting, String path, JsonNode node) {
        List<Object> values = new ArrayList<>();
        if (!node.isMissingNode() && !node.isArray()) {
            addMistake(path, "must be a list");
            return values;
        }
        for (int index = 0; index < node.size(); index++) {
            readText(elementType(component), setting, path + "[" + index + "]", node.get(index))
                    .ifPresent(values::add);
        }
        return List.copyOf(values);
    }

    private Optional<Object> readText(Class<?> type, Setting setting, String path, JsonNode node) {
        String description = format(type).description();
        String shownValue = setting.secret() || !node.isValueNode() ? "the value" : "'" + node.asText() + "'";
        if (!node.isValueNode() || node.isNull()) {
            addMistake(path, "must be " + description);
            return Optional.empty();
        }
        try {
            Object value = format(type).reader().apply(node.asText());
            if (isWithin(type, setting, value)) {
                return Optional.of(value);
            }
            addMistake(path, shownValue + " is not " + bounds(setting));
        } catch (IllegalArgumentException | ArithmeticException invalid) {
            addMistake(path, shownValue + " is not " + description);
        }
        return Optional.empty();
    }

    @SuppressWarnings("unchecked")
    private static boolean isWithin(Class<?> type, Setting setting, Object value) {
        if (!(value instanceof Comparable)) {
            return true;
        }
        Comparable<Object> comparable = (Comparable<Object>) value;
        ValueFormat format = format(type);
        boolean aboveLeast = setting.least().isEmpty()
                || comparable.compareTo(format.reader().apply(setting.least())) >= 0;
        return aboveLeast
                && (setting.greatest().isEmpty()
                        || comparable.compareTo(format.reader().apply(setting.greatest())) <= 0);
    }

    private static String bounds(Setting setting) {
        if (setting.greatest().isEmpty()) {
            return "at least " + setting.least();
        }
        return setting.least().isEmpty()
                ? "at most " + setting.greatest()
                : "from " + setting.least() + " to " + setting.greatest();
    }

    private <T extends Record> Optional<T> construct(Class<T> type, String path, Object[] values) {
        Class<?>[] types = Arrays.stream(type.getRecordComponents())
                .map(RecordComponent::getType)
                .toArray(Class<?>[]::new);
        try {
            var constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
            T settings = constructor.newInstance(values);
            if (settings instanceof ConsistentSettings consistent) {
                consistent.requireConsistent();
            }
            return Optional.of(settings);
        } catch (IllegalArgumentException inconsistent) {
            addMistake(path, inconsistent.getMessage());
            return Optional.empty();
        } catch (InvocationTargetException refused) {
            addMistake(path, refused.getCause().getMessage());
            return Optional.empty();
        } catch (ReflectiveOperationException impossible) {
            throw new IllegalStateException("settings record without its canonical constructor: " + type, impossible);
        }
    }

    private static ValueFormat format(Class<?> type) {
        return ValueFormat.of(type).orElseThrow(() -> new IllegalStateException("no format for settings of " + type));
    }

    static Class<?> elementType(RecordComponent component) {
        return (Class<?>) ((ParameterizedType) component.getGenericType()).getActualTypeArguments()[0];
    }

    private void addMistake(String path, String fault) {
        mistakes.add(new Mistake(path, fault));
    }

    private static String join(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
