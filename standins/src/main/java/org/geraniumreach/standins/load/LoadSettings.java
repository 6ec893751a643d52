package org.geraniumreach.standins.load;

import java.net.URI;
import java.util.List;
import java.util.Objects;

/**
 * The settings of a run of the load tool.
 *
 * <p>Invariant: at least one entry and one account. Immutable and safe for use by several threads.
 *
 * @param seed the seed that determines the sequence of requests
 * @param seconds the duration for which requests are sent
 * @param warmupSeconds the initial period in which requests are checked but not measured
 * @param drainSeconds the maximum time to wait for answers after the last request
 * @param mode what the addresses in {@code entries} belong to
 * @param entries the addresses that requests are sent to
 * @param accounts the client accounts that send requests
 * @param service the plain service for bookings, may be null if there are none
 * @param engines the stand-in engines whose records are checked after the run, null for none
 * @param observed the processes whose counters are read before and after the run, null for none
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

    /** The kind of process that receives the requests. */
    public enum Mode {
        /** Entries, called through the OpenAI-compatible API. */
        ENTRY,
        /** Stand-in engines, called directly. */
        ENGINE
    }

    /**
     * An address and its share of the requests.
     *
     * @param url the URL
     * @param weight the weight of the address relative to the others
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
     * The load of one client account.
     *
     * @param name the client account
     * @param key the API key, never written to a result
     * @param requestsPerSecond the mean rate of generations
     * @param bookingsPerSecond the mean rate of bookings
     * @param repeatShare the fraction of bookings repeated after the answer with the same idempotency key
     * @param streamedShare the fraction of generations that are streamed
     * @param chatShare the fraction of generations that are chats
     * @param promptCharacters the length of the prompt text before the suffix that makes it unique
     * @param maximumTokens the maximum number of tokens to generate
     * @param adapters the adapters to request
     * @param tokensPerSecond the account's token rate, 0 to skip the rate check
     * @param burstTokens the account's token burst
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
     * A range of adapters named by a prefix and a number, most popular first.
     *
     * @param prefix the prefix of the names
     * @param first the first number
     * @param count the number of adapters
     * @param version the version to request
     * @param zipfExponent the Zipf exponent of the popularity, 0 for a uniform distribution
     */
    public record AdapterRange(String prefix, int first, int count, String version, double zipfExponent) {

        public AdapterRange {
            if (count < 1 || zipfExponent < 0) {
                throw new IllegalArgumentException("adapters: count " + count + ", exponent " + zipfExponent);
            }
        }
    }

    /**
     * The processes whose counters show stalls on adapter loads.
     *
     * @param metrics the management addresses of the entries
     * @param platform the administration address of the stand-in platform, may be null
     */
    public record Observed(List<URI> metrics, URI platform) {

        public Observed {
            metrics = metrics == null ? List.of() : List.copyOf(metrics);
        }
    }

    /**
     * The service that receives bookings.
     *
     * @param name the name of the service
     * @param operation the operation, which must run at most once per booking
     * @param ran the addresses of the workers whose run records are checked
     */
    public record BookedService(String name, String operation, List<URI> ran) {

        public BookedService {
            ran = ran == null ? List.of() : List.copyOf(ran);
        }
    }
}
