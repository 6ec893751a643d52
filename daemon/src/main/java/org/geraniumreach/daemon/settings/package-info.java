/**
 * Settings: records of typed values, read from YAML and validated as a whole.
 *
 * <p>Each part of the daemon declares its settings as a record whose components are annotated with {@link
 * org.geraniumreach.daemon.settings.Setting}. {@link org.geraniumreach.daemon.settings.SettingsReader} reads any such
 * record and reports every mistake with its path; {@link org.geraniumreach.daemon.settings.SettingsPrinter} prints the
 * defaults.
 */
package org.geraniumreach.daemon.settings;
