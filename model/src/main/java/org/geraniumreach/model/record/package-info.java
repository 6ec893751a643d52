/**
 * The records that operators submit, in all schema versions, and the configuration that they form.
 *
 * <p>Every schema version that was ever accepted stays readable. A record of a newer version than this program knows is
 * unavailable; other records are not affected.
 */
package org.geraniumreach.model.record;
