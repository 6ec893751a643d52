package org.geraniumreach.standins.load;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A histogram of the time that requests waited for adapter loads, read from the entries' metrics.
 *
 * <p>Invariant: counts are cumulative, so they do not decrease with the bound. Immutable and safe for use by several
 * threads.
 *
 * @param countsByBound the number of requests that waited at most as long as the bound, by bound in seconds
 */
record LoadWaits(SortedMap<Double, Double> countsByBound) {

    private static final Pattern BUCKET = Pattern.compile(
            "^geraniumreach_load_wait_seconds_bucket\\{.*le=\"([^\"]+)\".*\\} (\\S+)$", Pattern.MULTILINE);
    private static final double MILLIS_PER_SECOND = 1000;

    static final LoadWaits NONE = new LoadWaits(new TreeMap<>());

    /**
     * Parses the metrics of an entry.
     *
     * @param text the metrics in the Prometheus text format
     * @return the histogram
     */
    static LoadWaits parse(String text) {
        SortedMap<Double, Double> counts = new TreeMap<>();
        Matcher bucket = BUCKET.matcher(text);
        while (bucket.find()) {
            double bound = bucket.group(1).equals("+Inf") ? Double.MAX_VALUE : Double.parseDouble(bucket.group(1));
            counts.merge(bound, Double.parseDouble(bucket.group(2)), Double::sum);
        }
        return new LoadWaits(counts);
    }

    LoadWaits plus(LoadWaits other) {
        return combined(other, 1);
    }

    LoadWaits minus(LoadWaits other) {
        return combined(other, -1);
    }

    private LoadWaits combined(LoadWaits other, int sign) {
        SortedMap<Double, Double> counts = new TreeMap<>(countsByBound);
        other.countsByBound.forEach((bound, count) -> counts.merge(bound, sign * count, Double::sum));
        return new LoadWaits(counts);
    }

    double requests() {
        return countsByBound.isEmpty() ? 0 : countsByBound.get(countsByBound.lastKey());
    }

    /**
     * Returns the fraction of requests that waited longer than the lowest bound.
     *
     * @return the fraction, 0 to 1
     */
    double stalledShare() {
        if (requests() == 0) {
            return 0;
        }
        return (requests() - countsByBound.get(countsByBound.firstKey())) / requests();
    }

    /**
     * Returns the lowest bound within which a fraction of the requests waited.
     *
     * @param fraction the fraction, 0 to 1
     * @return the bound in milliseconds, or the highest finite bound if they waited longer
     */
    double boundMillis(double fraction) {
        double bound = 0;
        for (Map.Entry<Double, Double> bucket : countsByBound.entrySet()) {
            if (bucket.getKey() == Double.MAX_VALUE) {
                return bound;
            }
            bound = bucket.getKey() * MILLIS_PER_SECOND;
            if (bucket.getValue() >= fraction * requests()) {
                return bound;
            }
        }
        return bound;
    }
}
