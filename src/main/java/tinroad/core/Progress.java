package tinroad.core;

/**
 * How far the attempt to run a request came. Only a request that was not sent is known never to
 * have run.
 */
public enum Progress {
    /** Nothing was written to the engine. */
    NOT_SENT,
    /** A run command was written, perhaps to a link that broke: the request may have run. */
    SENT,
    /** The engine reported how the run ended. */
    RAN
}
