/**
 * Relates the ends of targets to the requests that were being answered there, over all entries, so that a request that ends targets is
 * stopped before it has ended many.
 *
 * <p>Each entry tells the others which of its requests had not been answered when a target ended. These requests, and the parts of their prompts, are
 * under suspicion until an answer with them goes on. Few of them are sent meanwhile, and after three ends none for a while.
 *
 * <p>Use: create one {@link org.geraniumreach.gateway.crash.CrashGuard} for each process. Ask it before each sending, and report what becomes of each
 * request through the {@link org.geraniumreach.gateway.crash.SentRun} that it returns.
 */
package org.geraniumreach.gateway.crash;
