package tinroad.lab.verification;

import java.util.ArrayList;
import java.util.List;

/**
 * One try of a request, as observed by its caller and by the engine. Times in ms from the beginning
 * of the load.
 */
public final class Try {
    /** How a try ended for its caller. */
    public enum Outcome {
        /** Status 200. */
        SERVED,
        /** Rejected: status 429 or 503, or FastCGI's reply that the gateway is overloaded. */
        REFUSED,
        /** Any other answer. */
        FAILED,
        /** No connection was established, or nothing was written. */
        UNSENT,
        /**
         * The connection was closed just as the request was written: reads are sent again. This
         * does not prove that the try never ran, as a killed process looks the same.
         */
        CROSSED,
        /** The connection broke after the request was written. */
        BROKEN,
        /** The caller stopped waiting for an answer. */
        GIVEN_UP;

        /** Whether this outcome proves that the try never ran. */
        public boolean provenUnrun() {
            return this == REFUSED || this == UNSENT;
        }
    }

    /** An event: when, in which process and what happened. */
    public record Step(double at, String where, String what) {}

    /** Id on the wire. */
    public final String id;

    /** Number of the request. */
    public final int request;

    /** Number among the tries of the request, from 1. */
    public final int number;

    public final int proxy;
    public final int gateway;

    /** Whether the request may run more than once. */
    public final boolean free;

    /** Class and subject, which identify equal reads; null for other requests. */
    public final String key;

    /** Until when it has to be answered. */
    public final double deadlineAt;

    public final List<Step> steps = new ArrayList<>();

    /** When its last byte was written; NaN before. */
    public double sentAt = Double.NaN;

    /** When its connection broke, with or without a cause in the script; NaN if it did not. */
    public double brokenAt = Double.NaN;

    /** When the first complete answer came; NaN without one. */
    public double answeredAt = Double.NaN;

    /** Number of complete answers. */
    public int answers;

    /** Outcome according to the first answer; null without one. */
    public Outcome answer;

    /** Outcome for the caller, who may have given up before the answer came. */
    public Outcome end;

    /** The result that the first answer carried; null without one. */
    public String served;

    /** Number of runs that the engine started for it. */
    public int runs;

    /** When the engine started to run it; NaN if it did not. */
    public double ranAt = Double.NaN;

    /** Result of the last run; null without one. */
    public String result;

    /** Number of the gateway's incarnation that it was sent to. */
    public int incarnation;

    /** Creates a try that is about to be sent. */
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

    /** Records an event of this try. */
    public void addStep(double at, String where, String what) {
        steps.add(new Step(at, where, what));
    }
}
