/**
 * Knowledge that lasts over a restart. {@code Snapshot}, {@code Encoding}, {@code Recall} and
 * {@code Aged} decide and know no file, thread or clock; {@code StateFolder} alone touches files,
 * {@code Saver} alone has a thread.
 */
package tinroad.state;
