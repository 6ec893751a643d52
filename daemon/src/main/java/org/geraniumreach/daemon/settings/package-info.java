/**
 * Settings: records of typed values, read from YAML and checked whole.
 *
 * <p>A part of the daemon declares its settings as a record whose components carry {@link
 * org.geraniumreach.daemon.settings.Setting}; {@link org.geraniumreach.daemon.settings.SettingsReader} reads any such
 * record, names every mistake with its path, and prints the defaults.
 */
package org.geraniumreach.daemon.settings;
