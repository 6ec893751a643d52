package org.geraniumreach.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.record.RecordKey;

/**
 * One record of a file.
 *
 * <p>Invariant: the record reads without a fault. Not changed after construction.
 *
 * @param location the file and the number of the document in it
 * @param key the record's key
 * @param record the record, without kind and name
 */
record RecordDocument(String location, RecordKey key, ObjectNode record) {}
