/**
 * The link to the engine, the process that runs the requests: connecting, its line protocol (JSON
 * objects, one a line), switching to another address. {@code EngineLink} is the entry, called by
 * {@code node} and the lab; it reports to {@code core.Engine.Listener}. Decides nothing on
 * requests, and may know no other edge.
 */
package tinroad.engine;
