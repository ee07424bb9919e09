package tinroad.lab.verification;

import java.util.ArrayList;
import java.util.List;

/**
 * One try of a request: what its caller saw, and what the engine did. Times in ms from the
 * beginning of the load.
 */
public final class Try {
    /** How a try ended for its caller. */
    public enum Outcome {
        /** Status 200. */
        SERVED,
        /** 429, 503 or overloaded. */
        REFUSED,
        /** Any other answer. */
        FAILED,
        /** No connection came about, or nothing was written. */
        UNSENT,
        /**
         * The connection was closed just as the request was written: reads go again. No proof, as
         * the end of a killed process looks the same.
         */
        CROSSED,
        /** The connection broke after the request was written. */
        BROKEN,
        /** Nobody waits any more. */
        GIVEN_UP;

        /** Whether it proves that the try never ran. */
        public boolean provenUnrun() {
            return this == REFUSED || this == UNSENT;
        }
    }

    /** Something that happened to it, somewhere. */
    public record Step(double at, String where, String what) {}

    /** Id on the wire. */
    public final String id;

    /** The request that it is a try of. */
    public final int request;

    /** 1 for the first. */
    public final int number;

    public final int proxy;
    public final int gateway;
    public final boolean free;

    /** Class and subject: what a read repeats. */
    public final String key;

    public final double deadlineAt;
    public final List<Step> steps = new ArrayList<>();

    /** When its last byte was written; NaN before. */
    public double sentAt = Double.NaN;

    /**
     * When its connection was lost, with or without a cause in the script; NaN while it was not.
     */
    public double brokenAt = Double.NaN;

    /** First whole answer; NaN without one. */
    public double answeredAt = Double.NaN;

    public int answers;

    /** What the first answer said; null without one. */
    public Outcome answer;

    /** How it ended for its caller, who may have gone before the answer came. */
    public Outcome end;

    public String served;

    /** Runs begun for it, and the result of the last. */
    public int runs;

    public double ranAt = Double.NaN;
    public String result;

    /** Which life of the gateway it was sent to. */
    public int incarnation;

    /** A try that is about to be sent. */
    public Try(
            String id,
            int request,
            int number,
            int proxy,
            int gateway,
            boolean free,
            String key,
            double deadlineAt) {
        this.id = id;
        this.request = request;
        this.number = number;
        this.proxy = proxy;
        this.gateway = gateway;
        this.free = free;
        this.key = key;
        this.deadlineAt = deadlineAt;
    }

    /** Notes what happened. */
    public void addStep(double at, String where, String what) {
        steps.add(new Step(at, where, what));
    }
}
