/** The stand-in for the platform's transactional table service. */
package org.geraniumreach.standins.table;
