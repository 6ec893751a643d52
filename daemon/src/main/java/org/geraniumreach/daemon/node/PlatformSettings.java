package org.geraniumreach.daemon.node;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;

import org.geraniumreach.daemon.settings.Setting;

/**
 * The addresses of the platform's services.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param table the address of the table service
 * @param objects the address of the object store
 * @param list the address of the instance list
 * @param callLimit the timeout of one call
 */
public record PlatformSettings(
        @Setting(about = "The address of the table service.") InetSocketAddress table,
        @Setting(about = "The address of the object store.") InetSocketAddress objects,
        @Setting(about = "The address of the instance list.") InetSocketAddress list,
        @Setting(value = "2s", least = "10ms", greatest = "1m", about = "How long a call of the platform may take.")
                Duration callLimit) {

    /**
     * Gets the base URI of a service.
     *
     * @param address the service's address, not null
     * @return the URI, not null
     */
    public static URI uri(InetSocketAddress address) {
        return URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort());
    }
}
