package tinroad.core;

/** Where the one final answer of a request goes. */
@FunctionalInterface
public interface ResponseSink {
    /** Takes the answer; drops it where nobody is left to read it. */
    void respond(Response response);
}
