/** Names and value types shared by all modules. */
package org.geraniumreach.model;
