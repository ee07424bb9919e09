package tinroad.core;

/** Where the one final answer of a request goes. */
@FunctionalInterface
public interface ResponseSink {
    /** Takes the answer; drops it where the client has disconnected. */
    void respond(Response response);
}
