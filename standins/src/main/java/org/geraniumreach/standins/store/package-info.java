/** The stand-ins of the platform's object store and weight store. */
package org.geraniumreach.standins.store;
