package tinroad.core;

/** Where the one final answer of a request goes. */
@FunctionalInterface
public interface Requester {
    /** Takes the answer; drops it where nobody is left to read it. */
    void answer(Answer answer);
}
