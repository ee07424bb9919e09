/**
 * The change log: a folder with a file for each change of classes and tenants, written by one
 * publisher and followed by gateways. {@code ChangeLogStore} alone touches files, {@code
 * ChangeLogFollower} decides what a gateway does with what it finds, {@code ChangeDescription}
 * words it for operators. Called off the event loop, by {@code node} and commands; knows no
 * gateway, no clock and no socket.
 */
package tinroad.changelog;
