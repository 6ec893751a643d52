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
 * Passes over a caller's offer to speak another protocol.
 *
 * <p>Some clients offer HTTP/2 with each request, the JDK's own by default. Grizzly takes the bytes after such a request's
 * head for the other protocol, so the call waits for a body that has come already, until its time limit. Without the offer
 * the request is read as the HTTP/1.1 that it is, which the offer allows. Stateless and safe for use by several threads.
 */
public final class UpgradeOffers extends BaseFilter implements AddOn {

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
