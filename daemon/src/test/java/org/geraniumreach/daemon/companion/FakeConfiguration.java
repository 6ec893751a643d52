package org.geraniumreach.daemon.companion;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

import org.geraniumreach.daemon.configuration.ConfigurationListener;
import org.geraniumreach.daemon.configuration.ConfigurationService;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;

/** A configuration service that the test changes directly. */
final class FakeConfiguration implements ConfigurationService {

    private final List<ConfigurationListener> listeners = new CopyOnWriteArrayList<>();
    private volatile boolean stale;
    private volatile Configuration current = Configuration.empty();

    void put(RecordKind kind, String name, String body) {
        change(kind, name, Optional.of(body), Set.of());
    }

    void withdrawKey(String name, String secret) {
        change(RecordKind.KEY, name, Optional.empty(), Set.of(KeyDigest.ofSecret(secret)));
    }

    private void change(RecordKind kind, String name, Optional<String> body, Set<KeyDigest> withdrawn) {
        Configuration before = current;
        List<LogEntry> changes = new ArrayList<>();
        changes.add(new LogEntry(before.revision() + 1, "operation", new RecordKey(kind, name), body));
        current = before.plus(changes);
        listeners.forEach(listener -> listener.onConfigurationChanged(before, current, withdrawn));
    }

    void makeStale() {
        stale = true;
    }

    @Override
    public Configuration current() {
        return current;
    }

    @Override
    public void requireFresh() throws ServingException {
        if (stale) {
            throw ServingException.notRun(ResultCode.NOT_FRESH, "made stale by the test");
        }
    }

    @Override
    public Optional<String> reasonNotReady() {
        return Optional.empty();
    }

    @Override
    public void addListener(ConfigurationListener listener) {
        listeners.add(listener);
    }
}
