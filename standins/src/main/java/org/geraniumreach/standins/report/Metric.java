package org.geraniumreach.standins.report;

/** The metrics by which configurations are compared. */
enum Metric {
    STALLED("requests stalled on loads, in 100"),
    STALL_95("bound of the load wait of 95 in 100, ms"),
    LOADS("loads per thousand requests"),
    BATCH("mean batch"),
    BATCH_ADAPTERS("mean adapters in a batch"),
    TOKENS("tokens served a second"),
    WORST_SHARE("served of what was due, worst account, in 100"),
    WORST_FIRST_TOKEN("99th of the first token, worst account within its rate, ms"),
    WRONGFUL("wrongful refusals, in 100");

    private final String label;

    Metric(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }
}
