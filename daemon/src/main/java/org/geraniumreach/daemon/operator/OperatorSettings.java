package org.geraniumreach.daemon.operator;

import java.net.InetSocketAddress;

import org.geraniumreach.daemon.http.HttpLimits;
import org.geraniumreach.daemon.settings.Setting;
import org.geraniumreach.model.KeyDigest;

/**
 * Settings of the HTTP listener for operators.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param address the address to listen on
 * @param credentialDigest the SHA-256 digest of the operator credential
 * @param http the HTTP limits
 */
public record OperatorSettings(
        @Setting(value = "127.0.0.1:8081", about = "Where the operators' port listens.") InetSocketAddress address,
        @Setting(about = "The SHA-256 digest of the operator credential, 64 hexadecimal digits.", secret = true)
                String credentialDigest,
        HttpLimits http) {

    public OperatorSettings {
        KeyDigest.ofHexadecimal(credentialDigest);
    }
}
