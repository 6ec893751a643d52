package org.geraniumreach.httpserver;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.FilterChainEvent;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpEvents.IncomingHttpUpgradeEvent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.server.AddOn;
import org.glassfish.grizzly.http.server.NetworkListener;

/**
 * Ignores protocol upgrades offered by callers.
 *
 * <p>Some clients, among them the JDK's by default, offer an upgrade to HTTP/2 with each request. Grizzly takes the bytes after the
 * head of such a request for the other protocol, so that the call would wait until its time limit for a body that has already
 * been received. Without the offer the request is read as HTTP/1.1, as the protocol permits. Stateless and safe for use by
 * several threads.
 */
public final class UpgradeIgnoringFilter extends BaseFilter implements AddOn {

    @Override
    public void setup(NetworkListener listener, FilterChainBuilder filters) {
        filters.add(this);
    }

    @Override
    public NextAction handleEvent(FilterChainContext context, FilterChainEvent event) {
        if (event.type() == IncomingHttpUpgradeEvent.TYPE) {
            HttpHeader header = ((IncomingHttpUpgradeEvent) event).getHttpHeader();
            header.setIgnoreContentModifiers(false);
            header.getUpgradeDC().recycle();
        }
        return context.getInvokeAction();
    }
}
