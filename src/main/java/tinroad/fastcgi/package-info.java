/**
 * The FastCGI 1.0 protocol edge: the listener for client proxies, their connections, and the
 * mapping between a request's fields ({@code HTTP_REQ_*}) or a response's header fields ({@code
 * Srv-*}) and the types of {@code core}. Assembled by {@code node}; calls {@code core.Gateway}.
 * Does not depend on the other protocol edges, and does not use a request's priority weight or
 * deadline. All of it runs on the event loop.
 */
package tinroad.fastcgi;
