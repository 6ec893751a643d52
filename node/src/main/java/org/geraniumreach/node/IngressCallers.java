package org.geraniumreach.node;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.geraniumreach.platform.Ingress;

/** The callers that are connected to an ingress. Immutable; safe for use by several threads. */
record IngressCallers(Ingress ingress) implements EntryDrain.Callers {

    IngressCallers {
        Objects.requireNonNull(ingress, "ingress");
    }

    @Override
    public int openRequests() {
        return ingress.openRequests();
    }

    @Override
    public CompletableFuture<Integer> closeIdleConnections() {
        return ingress.closeIdleConnections();
    }
}
