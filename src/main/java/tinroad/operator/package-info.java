/**
 * The operator file: everything that is set and is not the platform's, read from HOCON, checked
 * against a schema, and handed on as typed values. Called by {@code cli}. May not know what the
 * settings are used for, nor open anything but files.
 */
package tinroad.operator;
