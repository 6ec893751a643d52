/** Rows and transactions of the platform's table service, as values. */
package org.geraniumreach.model.table;
