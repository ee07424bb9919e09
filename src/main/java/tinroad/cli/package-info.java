/**
 * The commands: each is a class whose annotated fields are its options, registered in {@link
 * tinroad.cli.Main}. Parses arguments, reads files, puts a gateway together through {@code node},
 * and prints. Nothing calls this package; the words typed, options, exit statuses and JSON keys are
 * an interface that operators' scripts rely on.
 */
package tinroad.cli;
