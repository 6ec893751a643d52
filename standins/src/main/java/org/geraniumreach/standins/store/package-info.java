/** The stand-ins for the platform's object store and weight store. */
package org.geraniumreach.standins.store;
