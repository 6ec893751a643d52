package org.geraniumreach.daemon.settings;

import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.Optional;

/**
 * Prints a settings record's names, defaults, bounds and purposes as YAML.
 *
 * <p>Invariant: the printed text, with the required settings filled in, is read back as the defaults. An instance is
 * used for one call only.
 */
public final class SettingsPrinter {

    private static final String INDENT = "  ";

    private final StringBuilder text = new StringBuilder();

    private SettingsPrinter() {}

    /**
     * Prints the defaults of a settings record.
     *
     * @param type the settings record, not null
     * @return YAML with a comment for each setting, not null
     */
    public static String print(Class<? extends Record> type) {
        SettingsPrinter printer = new SettingsPrinter();
        printer.printRecord(type, "");
        return printer.text.toString();
    }

    private void printRecord(Class<?> type, String indent) {
        for (RecordComponent component : type.getRecordComponents()) {
            if (component.getType().isRecord()
                    && ValueFormat.of(component.getType()).isEmpty()) {
                text.append(indent).append(component.getName()).append(":\n");
                printRecord(component.getType(), indent + INDENT);
            } else {
                printSetting(component, indent);
            }
        }
    }

    private void printSetting(RecordComponent component, String indent) {
        Setting setting = component.getAnnotation(Setting.class);
        boolean list = component.getType() == List.class;
        boolean optional = component.getType() == Optional.class;
        Class<?> type = list || optional ? SettingsReader.elementType(component) : component.getType();
        text.append(indent).append("# ").append(setting.about());
        ValueFormat.of(type).ifPresent(format -> text.append(" Allowed: ").append(format.description()));
        appendBounds(setting);
        text.append(".\n").append(indent);
        if (optional || !list && setting.value().isEmpty()) {
            text.append("# ");
        }
        text.append(component.getName()).append(": ");
        text.append(list ? "[]" : setting.value()).append(optional ? "(none)" : "");
        text.append(!list && !optional && setting.value().isEmpty() ? "(must be given)\n" : "\n");
    }

    private void appendBounds(Setting setting) {
        if (!setting.least().isEmpty()) {
            text.append(", at least ").append(setting.least());
        }
        if (!setting.greatest().isEmpty()) {
            text.append(", at most ").append(setting.greatest());
        }
    }
}
