/**
 * The change log: a folder with a file for each change of routes and tenants, written by one
 * publisher and followed by gateways. {@code ChangeLogStore} alone touches files, {@code
 * ChangeLogFollower} says what a gateway does with what it finds. Called off the event loop, by
 * {@code node} and commands; knows no gateway, no clock and no socket.
 */
package tinroad.changelog;
