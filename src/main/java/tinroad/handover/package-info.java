/**
 * What two processes of one gateway have to know of each other while a new version takes over: the
 * runs of keyed requests that either of them has submitted. They share it through one memory-mapped
 * file, {@code ClaimFile}, in which {@code SharedRunClaims} keeps the claims and {@code ResultRing}
 * the results. Put together by {@code node}; implements an interface of {@code core}.
 */
package tinroad.handover;
