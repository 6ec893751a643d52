package org.geraniumreach.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.record.RecordKey;

/**
 * A record read from one document of a file.
 *
 * <p>Invariant: the record is valid. It must not be modified after construction.
 *
 * @param location the file and the number of the document in it, for error messages
 * @param key the record's key
 * @param record the fields of the record, without kind and name
 */
record RecordDocument(String location, RecordKey key, ObjectNode record) {}
