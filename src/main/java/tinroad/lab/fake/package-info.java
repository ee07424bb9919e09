/**
 * Stand-ins for what a gateway talks to: engine, client proxies, health checks, roster, and the
 * model of the cores. Used by {@code tinroad.lab} only. What decides ({@code CoreModel}, {@code
 * GatewaySelector}, {@code RetryPolicy}, {@code RegistryEntries}) knows no wire or clock; the rest
 * carries it over sockets.
 */
package tinroad.lab.fake;
