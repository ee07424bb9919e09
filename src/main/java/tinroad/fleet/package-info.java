/**
 * What gateways know of each other: membership in the manner of SWIM (Das, Gupta, Motivala 2002)
 * with the additions of Lifeguard (Dadgar, Phillips, Currey 2017). Messages are values in and out;
 * no clock, socket, file or thread. Not wired into a gateway yet.
 */
package tinroad.fleet;
