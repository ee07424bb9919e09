/**
 * The overload controller of one server: a state machine with events in ({@link
 * tinroad.overload.Controller}) and actions out ({@link tinroad.overload.Controller.Actions}). Each
 * decision is a class of its own; {@link tinroad.overload.OverloadController} composes them and
 * fixes the order of steps within an event.
 *
 * <p>Called by the core on its event loop, and by simulations on virtual time; one thread, no
 * locks. May know nothing but itself and {@code java.util}: no clock, wire, file, socket, log or
 * random numbers. Times are milliseconds on the server's monotonic clock, as {@code double}, and
 * come with each event.
 */
package tinroad.overload;
