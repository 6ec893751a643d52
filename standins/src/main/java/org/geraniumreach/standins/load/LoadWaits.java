package org.geraniumreach.standins.load;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How long requests waited for their adapters' loads, by the entries' histograms.
 *
 * <p>Invariant: the counts rise with their bounds. Immutable and safe for use by several threads.
 *
 * @param countsByBound the number of requests that waited at most so long, by the bound in seconds
 */
record LoadWaits(SortedMap<Double, Double> countsByBound) {

    private static final Pattern BUCKET = Pattern.compile(
            "^geraniumreach_load_wait_seconds_bucket\\{.*le=\"([^\"]+)\".*\\} (\\S+)$", Pattern.MULTILINE);
    private static final double MILLIS_PER_SECOND = 1000;

    static final LoadWaits NONE = new LoadWaits(new TreeMap<>());

    /**
     * Reads an entry's metrics.
     *
     * @param text the metrics in Prometheus' text form
     * @return the waits
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
     * Gets the part of the requests that waited longer than the least bound.
     *
     * @return the part, 0 to 1
     */
    double stalledShare() {
        if (requests() == 0) {
            return 0;
        }
        return (requests() - countsByBound.get(countsByBound.firstKey())) / requests();
    }

    /**
     * Gets the bound below which a part of the requests waited.
     *
     * @param part the part, 0 to 1
     * @return milliseconds, the greatest bound if they waited longer
     */
    double boundMillis(double part) {
        double bound = 0;
        for (Map.Entry<Double, Double> bucket : countsByBound.entrySet()) {
            if (bucket.getKey() == Double.MAX_VALUE) {
                return bound;
            }
            bound = bucket.getKey() * MILLIS_PER_SECOND;
            if (bucket.getValue() >= part * requests()) {
                return bound;
            }
        }
        return bound;
    }
}
