/**
 * The command line. Each command is a class whose annotated fields are its options, registered in
 * {@link tinroad.cli.Main}. Commands parse arguments, read files, assemble a gateway through {@code
 * node}, and print. No other package calls this one. Commands, arguments, options, exit statuses
 * and JSON keys are an interface that operators' scripts rely on.
 */
package tinroad.cli;
