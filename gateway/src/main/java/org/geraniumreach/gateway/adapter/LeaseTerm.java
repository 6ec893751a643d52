package org.geraniumreach.gateway.adapter;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * The time for which this entry's lease has been renewed without a lapse, and what may be known of the store's rows within it.
 *
 * <p>While a lease has lapsed, another entry may take over what it protects. So a renewal after a lapse does not prove that this
 * entry still owns anything: rows may be relied on only as of that renewal or later.
 *
 * <p>Invariant: {@link #covers} is false for a row that another entry may have replaced during the last lapse. Confined to the event
 * loop.
 */
public final class LeaseTerm {

    private final BooleanSupplier unbroken;
    private LongSupplier tableVersion = () -> Long.MIN_VALUE;
    private long startVersion = Long.MIN_VALUE;

    LeaseTerm(BooleanSupplier unbroken) {
        this.unbroken = unbroken;
    }

    /**
     * Sets the version up to which the table of the rows is known.
     *
     * @param newTableVersion supplies the version, {@link Long#MIN_VALUE} if nothing is known, not null
     */
    public void setTableVersion(LongSupplier newTableVersion) {
        tableVersion = Objects.requireNonNull(newTableVersion, "newTableVersion");
    }

    /** Begins a new term if the last one has lapsed; called before a renewal takes effect. */
    void onRenewing(long version) {
        if (!unbroken.getAsBoolean()) {
            startVersion = version;
        }
    }

    /**
     * Gets the store's version at the renewal that began this term.
     *
     * @return the version up to which the rows have to be read
     */
    public long startVersion() {
        return startVersion;
    }

    /**
     * Queries whether a row is known as of this term.
     *
     * @param rowVersion the version of the row as it is known
     * @return true if the row was written or its table was read after the term began
     */
    public boolean covers(long rowVersion) {
        return rowVersion >= startVersion || tableVersion.getAsLong() >= startVersion;
    }
}
