/**
 * The FastCGI 1.0 edge: the listener for client proxies, their connections, and the mapping of a
 * request's fields ({@code HTTP_REQ_*}) and a response's header fields ({@code Srv-*}) to the types
 * of {@code core}. Put together by {@code node}; calls {@code core.Gateway}. Does not know the
 * other edges, nor a request's priority weight or deadline. All of it runs on the event loop.
 */
package tinroad.fastcgi;
