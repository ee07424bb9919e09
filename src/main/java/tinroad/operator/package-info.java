/**
 * The operator file: all settings that are not the platform's, read from HOCON, validated against a
 * schema, and returned as typed values. Called by {@code cli}. Must not depend on how the settings
 * are used, nor open anything but files.
 */
package tinroad.operator;
