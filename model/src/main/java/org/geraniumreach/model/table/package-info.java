/** Value types for rows and transactions of the platform's table service. */
package org.geraniumreach.model.table;
