/**
 * The link to the engine, the process that runs the requests: connecting, the line protocol (one
 * JSON object per line), and switching to another address. The entry point is {@code EngineLink},
 * used by {@code node} and the lab; it reports to {@code core.Engine.Listener}. Makes no decisions
 * on requests, and must not depend on the other protocol edges.
 */
package tinroad.engine;
