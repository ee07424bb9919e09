/**
 * Fakes of what a gateway communicates with: engine, client proxies with their health checks, and
 * service registry. Used by {@code tinroad.lab} only. The classes that decide ({@code CoreModel},
 * {@code GatewaySelector}, {@code RetryPolicy}, {@code RegistryEntries}) are independent of
 * protocol and clock; the others connect them to sockets.
 */
package tinroad.lab.fake;
