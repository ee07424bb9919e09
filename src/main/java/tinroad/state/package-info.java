/**
 * State of a gateway that survives a restart, in a folder. {@code Snapshot}, {@code SnapshotCodec},
 * {@code SnapshotSelector}, {@code DecayedValue} and {@code Provenance} are pure logic without
 * files, threads or clock; {@code SnapshotStore} and {@code DurableFiles} alone touch files, {@code
 * SnapshotWriter} alone has a thread.
 *
 * <p>Called by {@code recovery}, {@code node}, {@code changelog}, commands and the lab; knows only
 * the module's estimates, no gateway and no socket. What the files call a life is an incarnation
 * here: one run of a gateway's process.
 */
package tinroad.state;
