/**
 * Prefix affinity: the targets at which the prompt prefixes of conversations are probably cached.
 *
 * <p>Use: pass one {@link org.geraniumreach.serving.prefix.PrefixDirectory} to the router, add the digest of the
 * prompt's shared prefix to each request, and report to the directory each End frame with its {@code prefix_hit}, and
 * each target that left or whose engine restarted.
 */
package org.geraniumreach.serving.prefix;
