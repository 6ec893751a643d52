/** The stand-in of the platform's transactional table service. */
package org.geraniumreach.standins.table;
