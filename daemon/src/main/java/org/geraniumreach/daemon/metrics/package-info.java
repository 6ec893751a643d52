/** What the daemon measures of itself, by Micrometer, with histograms for each client account and class of request. */
package org.geraniumreach.daemon.metrics;
