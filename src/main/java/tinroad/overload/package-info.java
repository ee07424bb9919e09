/**
 * The overload controller of one server: a state machine that receives events ({@link
 * tinroad.overload.Controller}) and issues actions ({@link tinroad.overload.Controller.Actions}).
 * Each decision has its own class; {@link tinroad.overload.OverloadController} composes them and
 * fixes the order of steps within an event.
 *
 * <p>The core calls the controller on its event loop, and simulations call it on virtual time. It
 * runs on one thread and takes no locks. The package depends only on itself and {@code java.util}:
 * it has no clock, network protocol, file, socket, log or random numbers. Times are milliseconds on
 * the server's monotonic clock, as {@code double}, and are passed with each event.
 */
package tinroad.overload;
