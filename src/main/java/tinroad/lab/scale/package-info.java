/**
 * The scale run: hollow gateways, the control side only, in processes of their own beside real
 * ones; one thing grows, and what each gateway costs is measured and fitted. Called by the command
 * {@code lab scale} and by tests, never by {@code serve}.
 */
package tinroad.lab.scale;
