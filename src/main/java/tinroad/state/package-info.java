/**
 * Knowledge that lasts over a restart. {@code Snapshot}, {@code SnapshotCodec}, {@code
 * SnapshotSelector} and {@code DecayedValue} decide and know no file, thread or clock; {@code
 * SnapshotStore} alone touches files, {@code SnapshotWriter} alone has a thread.
 */
package tinroad.state;
