package org.geraniumreach.model.record;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.KeyDigest;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationTest {

    private static final KeyDigest FIRST = KeyDigest.ofSecret("first");
    private static final KeyDigest SECOND = KeyDigest.ofSecret("second");

    /** A change without its revision. */
    record Change(RecordKey key, Optional<String> body) {}

    /*
     * Failure: a caller whose key was withdrawn is still served, or one instance allows what another refuses. An index
     * kept up change by change forgets to take back what a replaced record said, so its content depends on the way that
     * led there. What a chain of changes answers must equal what a snapshot of the same records answers.
     */
    @Property(tries = 2000, seed = "2")
    void incrementalChangesMatchSnapshot(@ForAll("changes") List<Change> changes) {
        Configuration stepwise = Configuration.empty();
        List<LogEntry> all = new ArrayList<>();
        for (Change change : changes) {
            LogEntry entry = new LogEntry(stepwise.revision() + 1, "operation", change.key(), change.body());
            stepwise = stepwise.plus(List.of(entry));
            all.add(entry);
        }
        Configuration atOnce = Configuration.empty().plus(all);
        Configuration snapshot = Configuration.ofSnapshot(stepwise.revision(), stepwise.entries());
        assertThat(queryAll(stepwise)).isEqualTo(queryAll(snapshot)).isEqualTo(queryAll(atOnce));
    }

    private static List<Object> queryAll(Configuration configuration) {
        List<Object> answers = new ArrayList<>();
        answers.add(configuration.revision());
        answers.add(configuration.unreadable());
        answers.add(configuration.keyDigests());
        answers.add(configuration.key(FIRST));
        answers.add(configuration.key(SECOND));
        answers.add(configuration.adapter("x"));
        answers.add(Set.copyOf(configuration.targets()));
        for (String account : List.of("a", "b")) {
            answers.add(configuration.account(AccountId.of(account)));
            answers.add(configuration.adaptersOf(AccountId.of(account)));
            answers.add(configuration.isAssigned(AccountId.of(account), "x"));
        }
        return answers;
    }

    @Provide
    Arbitrary<List<Change>> changes() {
        Arbitrary<String> names = Arbitraries.of("a", "b", "x");
        Arbitrary<String> accounts = Arbitraries.of("a", "b");
        Arbitrary<String> digests = Arbitraries.of(FIRST.toHexadecimal(), SECOND.toHexadecimal());
        Arbitrary<Change> change = Combinators.combine(
                        Arbitraries.of(RecordKind.values()),
                        names,
                        accounts,
                        digests,
                        Arbitraries.integers().between(0, 9))
                .as((kind, name, account, digest, dice) -> new Change(
                        RecordKey.of(kind, name),
                        dice < 3 ? Optional.empty() : Optional.of(body(kind, account, digest, dice))));
        return change.list().ofMaxSize(12);
    }

    private static String body(RecordKind kind, String account, String digest, int dice) {
        if (dice == 3) {
            return "{\"schemaVersion\":99}";
        }
        return switch (kind) {
            case ACCOUNT -> "{\"schemaVersion\":1,\"rate\":" + dice + ",\"burst\":9}";
            case KEY -> "{\"schemaVersion\":1,\"account\":\"" + account + "\",\"digest\":\"" + digest + "\"}";
            case ADAPTER -> "{\"schemaVersion\":1,\"baseModel\":\"base\",\"versions\":[\"v" + dice + "\"]}";
            case ASSIGNMENT -> dice < 6
                    ? "{\"schemaVersion\":1,\"account\":\"" + account + "\",\"adapter\":\"x\"}"
                    : "{\"schemaVersion\":2,\"account\":\"" + account + "\",\"adapters\":[\"x\",\"a\"]}";
            case TARGET -> "{\"schemaVersion\":1,\"failureDomain\":\"d\",\"baseModel\":\"base\",\"slots\":" + dice
                    + ",\"checksFence\":true}";
            case SERVICE -> "{\"schemaVersion\":1,\"operations\":{\"book\":{\"repeatable\":false,\"tokens\":1}}}";
        };
    }
}
