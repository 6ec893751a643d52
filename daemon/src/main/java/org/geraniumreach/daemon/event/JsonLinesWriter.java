package org.geraniumreach.daemon.event;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes each log line to the standard output as one JSON object.
 *
 * <p>Invariant: each object takes exactly one line, whatever the message contains. Safe for use by several threads,
 * since each line is printed by a single call.
 */
public final class JsonLinesWriter implements Writer {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Pattern EVENT_LINE = Pattern.compile("\\[(\\d+)] (\\w+) (.*)", Pattern.DOTALL);

    private final PrintStream output;

    /**
     * Creates a writer; called by tinylog, which finds the class by name.
     *
     * @param properties the properties of the writer, which are ignored
     */
    public JsonLinesWriter(Map<String, String> properties) {
        this.output = System.out;
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION,
                LogEntryValue.THREAD);
    }

    @Override
    public void write(LogEntry entry) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("time", entry.getTimestamp().toInstant().toString());
        line.put("level", entry.getLevel().name());
        line.put("thread", entry.getThread().getName());
        putMessage(line, entry.getMessage() == null ? "" : entry.getMessage());
        if (entry.getException() != null) {
            StringWriter trace = new StringWriter();
            entry.getException().printStackTrace(new PrintWriter(trace));
            line.put("failure", trace.toString());
        }
        output.println(line);
    }

    private static void putMessage(ObjectNode line, String message) {
        Matcher event = EVENT_LINE.matcher(message);
        if (!event.matches()) {
            line.put("detail", message);
            return;
        }
        line.put("event", Integer.parseInt(event.group(1)));
        line.put("name", event.group(2));
        line.put("detail", event.group(3));
    }

    @Override
    public void flush() {
        output.flush();
    }

    @Override
    public void close() {
        output.flush();
    }
}
