/**
 * The records that operators submit, in all their schema versions, and the configuration that they add up to.
 *
 * <p>Every schema version ever accepted stays readable beside newer ones; a version newer than this program knows makes
 * that one record unavailable and nothing else.
 */
package org.geraniumreach.model.record;
