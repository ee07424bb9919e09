package tinroad.core;

/** Receives the one final answer to a request. */
@FunctionalInterface
public interface ResponseSink {
    /** Takes the answer; drops it if the client has disconnected. */
    void respond(Response response);
}
