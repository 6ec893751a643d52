package org.geraniumreach.standins.load;

import java.net.URI;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.standins.load.LoadSettings.AccountLoad;
import org.geraniumreach.standins.load.LoadSettings.EntryShare;
import org.geraniumreach.standins.load.PlannedRequest.Kind;

/**
 * Generates the bookings or the generations of one account as a Poisson process.
 *
 * <p>Invariant: the same settings, including the seed, give the same sequence, apart from the run name in prompts and
 * keys. Used by one thread.
 */
final class RequestSource {

    private static final String FILLER = "the winding data of the motor as read from its plate and the report before; ";

    private final AccountLoad account;
    private final boolean bookings;
    private final double perSecond;
    private final List<EntryShare> entries;
    private final RandomGenerator random;
    private final ZipfDistribution popularity;
    private final String run;
    private double nextSeconds;
    private long requestCount;

    RequestSource(LoadSettings settings, AccountLoad account, boolean bookings, String run) {
        this.account = account;
        this.bookings = bookings;
        this.perSecond = bookings ? account.bookingsPerSecond() : account.requestsPerSecond();
        this.entries = settings.entries();
        this.run = run;
        this.random = new Well19937c(
                new int[] {Long.hashCode(settings.seed()), account.name().hashCode(), bookings ? 1 : 0});
        this.popularity = account.adapters().zipfExponent() > 0
                        && account.adapters().count() > 1
                ? new ZipfDistribution(
                        random, account.adapters().count(), account.adapters().zipfExponent())
                : null;
        scheduleNext();
    }

    long nextDueNanos() {
        return (long) (nextSeconds * TimeUnit.SECONDS.toNanos(1));
    }

    PlannedRequest next(long number) {
        long dueNanos = nextDueNanos();
        scheduleNext();
        requestCount++;
        return bookings ? booking(number, dueNanos) : generation(number, dueNanos);
    }

    private void scheduleNext() {
        nextSeconds = perSecond > 0 ? nextSeconds - Math.log(1 - random.nextDouble()) / perSecond : Double.MAX_VALUE;
    }

    private PlannedRequest generation(long number, long dueNanos) {
        int rank = popularity != null
                ? popularity.sample()
                : 1 + random.nextInt(account.adapters().count());
        AdapterReference adapter = AdapterReference.of(
                account.adapters().prefix() + (account.adapters().first() + rank - 1),
                account.adapters().version());
        Kind kind = random.nextDouble() < account.chatShare() ? Kind.CHAT : Kind.COMPLETION;
        boolean streamed = random.nextDouble() < account.streamedShare();
        return new PlannedRequest(number, dueNanos, account, kind, streamed, adapter, prompt(), false, "", entry());
    }

    private String prompt() {
        StringBuilder prompt = new StringBuilder(FILLER.length() + account.promptCharacters());
        while (prompt.length() < account.promptCharacters()) {
            prompt.append(FILLER);
        }
        prompt.setLength(account.promptCharacters());
        return prompt.append(' ')
                .append(run)
                .append('-')
                .append(account.name())
                .append('-')
                .append(requestCount)
                .toString();
    }

    private PlannedRequest booking(long number, long dueNanos) {
        String key = run + "-" + account.name() + "-booking-" + requestCount;
        String body = "{\"booking\":\"" + key + "\",\"motor\":\"pump " + random.nextInt(1000) + "\"}";
        boolean repeated = random.nextDouble() < account.repeatShare();
        return new PlannedRequest(number, dueNanos, account, Kind.BOOKING, false, null, body, repeated, key, entry());
    }

    private URI entry() {
        double total = entries.stream().mapToDouble(EntryShare::weight).sum();
        double remainingWeight = random.nextDouble() * total;
        for (EntryShare entry : entries) {
            remainingWeight -= entry.weight();
            if (remainingWeight < 0) {
                return entry.url();
            }
        }
        return entries.get(entries.size() - 1).url();
    }
}
