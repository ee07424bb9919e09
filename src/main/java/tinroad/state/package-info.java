/**
 * The state of a gateway that survives a restart, stored in a folder. {@code Snapshot}, {@code
 * SnapshotCodec}, {@code SnapshotSelector}, {@code DecayedValue} and {@code Provenance} are pure
 * logic without files, threads or clock. Only {@code SnapshotStore} and {@code DurableFiles} access
 * files, and only {@code SnapshotWriter} has a thread.
 *
 * <p>Called by {@code recovery}, {@code node}, {@code changelog}, commands and the lab. It depends
 * only on the estimates of {@code overload}, not on the gateway or sockets. An incarnation, which
 * the files call a life, is one run of a gateway's process.
 */
package tinroad.state;
