/** What every process of the system needs of its machine. */
package org.geraniumreach.process;
