/**
 * Beliefs about where the prefixes of conversations are cached.
 *
 * <p>Use: give one {@link org.geraniumreach.serving.prefix.PrefixDirectory} to the router, put the digest of the prompt's
 * shared part on each request, and tell the directory of each End with its {@code prefix_hit}, and of targets that left or
 * whose engine restarted.
 */
package org.geraniumreach.serving.prefix;
