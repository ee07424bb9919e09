/**
 * The change log: a folder with one file for each change of classes and tenants, written by one
 * publisher and followed by gateways. Only {@code ChangeLogStore} accesses files, {@code
 * ChangeLogFollower} decides what a gateway does with the changes it finds, and {@code
 * ChangeDescription} describes the results for operators. Called off the event loop, by {@code
 * node} and commands. The package depends on no gateway, clock or socket.
 */
package tinroad.changelog;
