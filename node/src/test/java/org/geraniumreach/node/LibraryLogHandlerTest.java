package org.geraniumreach.node;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

import org.geraniumreach.model.EventCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LibraryLogHandlerTest {

    private final List<String> lines = new ArrayList<>();

    @AfterEach
    void restore() throws Exception {
        LogManager.getLogManager().readConfiguration();
    }

    /** Guards against plain lines in the JSON log, which log readers would treat as corrupted. */
    @Test
    void libraryWarningIsWrittenToDecisionLog() {
        install();
        Logger.getLogger("a.library").log(Level.WARNING, "odd", new IllegalStateException("why"));
        assertThat(lines).containsExactly("LIBRARY_MESSAGE a.library odd java.lang.IllegalStateException: why");
    }

    @ParameterizedTest
    @ValueSource(strings = {"INFO", "FINE"})
    void libraryMessagesBelowWarningAreDropped(String level) {
        install();
        Logger.getLogger("a.library").log(Level.parse(level), "started");
        assertThat(lines).isEmpty();
    }

    private void install() {
        LibraryLogHandler.install((event, id, fields) -> {
            assertThat(event).isEqualTo(EventCode.LIBRARY_MESSAGE);
            lines.add(event + " " + fields[0].value() + " " + fields[1].value() + " " + fields[2].value());
        });
    }
}
