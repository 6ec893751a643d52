/** The metrics of the daemon, recorded with Micrometer, with histograms per client account and class of requests. */
package org.geraniumreach.daemon.metrics;
