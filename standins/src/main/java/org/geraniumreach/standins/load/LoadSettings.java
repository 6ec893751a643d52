package org.geraniumreach.standins.load;

import java.net.URI;
import java.util.List;
import java.util.Objects;

/**
 * What a run of the load tool sends, and where.
 *
 * <p>Invariant: at least one entry and one account. Immutable and safe for use by several threads.
 *
 * @param seed what the whole sequence of requests follows from
 * @param seconds how long requests are sent
 * @param warmupSeconds how long at the start nothing is measured, though checked
 * @param drainSeconds how long answers are waited for after that
 * @param mode whom the entries' addresses belong to
 * @param entries where requests go
 * @param accounts who sends
 * @param service the plain service that bookings go to, may be null if there are none
 * @param engines the stand-in engines whose records are read after the run
 * @param observed whose counters are read before and after the run
 */
public record LoadSettings(
        long seed,
        double seconds,
        double warmupSeconds,
        double drainSeconds,
        Mode mode,
        List<EntryShare> entries,
        List<AccountLoad> accounts,
        BookedService service,
        List<URI> engines,
        Observed observed) {

    public LoadSettings {
        engines = engines == null ? List.of() : List.copyOf(engines);
        observed = observed == null ? new Observed(List.of(), null) : observed;
        mode = mode == null ? Mode.ENTRY : mode;
        entries = List.copyOf(entries);
        accounts = List.copyOf(accounts);
        if (entries.isEmpty() || accounts.isEmpty()) {
            throw new IllegalArgumentException("no entries or no accounts");
        }
        if (!(seconds > 0) || drainSeconds < 0 || warmupSeconds < 0) {
            throw new IllegalArgumentException(
                    "seconds: " + seconds + ", warmupSeconds: " + warmupSeconds + ", drainSeconds: " + drainSeconds);
        }
    }

    /** Whom the load tool speaks to. */
    public enum Mode {
        /** Entries, by the OpenAI conventions. */
        ENTRY,
        /** Stand-in engines. */
        ENGINE
    }

    /**
     * An entry and its part of the requests.
     *
     * @param url its URL
     * @param weight its part, relative to the others'
     */
    public record EntryShare(URI url, double weight) {

        public EntryShare {
            Objects.requireNonNull(url, "url");
            if (!(weight >= 0)) {
                throw new IllegalArgumentException("weight: " + weight);
            }
        }
    }

    /**
     * What one client account sends.
     *
     * @param name the account
     * @param key its key; never written to a result
     * @param requestsPerSecond the rate of generations
     * @param bookingsPerSecond the rate of bookings
     * @param repeatShare the part of the bookings that is sent again after its answer, with the same idempotency key
     * @param streamedShare the part of the generations that is streamed
     * @param chatShare the part of the generations that is a chat
     * @param promptCharacters the prompt's length
     * @param maximumTokens the most tokens to generate
     * @param adapters the adapters that it names
     * @param tokensPerSecond the account's rate, 0 if it is not to be checked
     * @param burstTokens the account's burst
     */
    public record AccountLoad(
            String name,
            String key,
            double requestsPerSecond,
            double bookingsPerSecond,
            double repeatShare,
            double streamedShare,
            double chatShare,
            int promptCharacters,
            int maximumTokens,
            AdapterRange adapters,
            double tokensPerSecond,
            double burstTokens) {

        public AccountLoad {
            Objects.requireNonNull(name, "name");
            Objects.requireNonNull(adapters, "adapters");
            key = key == null ? "" : key;
            if (requestsPerSecond < 0 || bookingsPerSecond < 0) {
                throw new IllegalArgumentException("negative rate of " + name);
            }
            if (maximumTokens < 1 || promptCharacters < 1) {
                throw new IllegalArgumentException("prompt or tokens of " + name + " below 1");
            }
        }
    }

    /**
     * Adapters named by a prefix and a number, the first the most popular.
     *
     * @param prefix the prefix
     * @param first the first number
     * @param count how many
     * @param version the version named
     * @param zipfExponent the skew of their popularity, 0 for none
     */
    public record AdapterRange(String prefix, int first, int count, String version, double zipfExponent) {

        public AdapterRange {
            if (count < 1 || zipfExponent < 0) {
                throw new IllegalArgumentException("adapters: count " + count + ", exponent " + zipfExponent);
            }
        }
    }

    /**
     * Processes whose counters show how requests stalled on loads.
     *
     * @param metrics the entries' management addresses
     * @param platform the administration of the platform's stand-in, may be null
     */
    public record Observed(List<URI> metrics, URI platform) {

        public Observed {
            metrics = metrics == null ? List.of() : List.copyOf(metrics);
        }
    }

    /**
     * The service that bookings go to.
     *
     * @param name the service
     * @param operation its operation that may run once only
     * @param ran the workers' records of what ran
     */
    public record BookedService(String name, String operation, List<URI> ran) {

        public BookedService {
            ran = ran == null ? List.of() : List.copyOf(ran);
        }
    }
}
