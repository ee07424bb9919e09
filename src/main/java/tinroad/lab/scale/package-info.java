/**
 * The scale run: hollow gateways, which are the control side only, run in processes of their own
 * beside real gateways. One parameter grows; the costs of each gateway are measured and fitted by
 * regression. Used by the command {@code lab scale} and by tests, never by {@code serve}.
 */
package tinroad.lab.scale;
