package tinroad.fastcgi;

/** Measures for how long the current partial record of a connection has been waiting. */
final class PartialRecordTimer {
    private static final int NONE = -1;

    /** Number of complete records before the partial one that is timed. */
    private int recordsBefore = NONE;

    /** When the partial record was first seen, in Unix ms. */
    private double sinceMillis;

    /**
     * Begins to time the partial record, unless it is timed already.
     *
     * @param completeRecords number of complete records that were read so far
     */
    void begin(int completeRecords, double nowMillis) {
        if (completeRecords != recordsBefore) {
            recordsBefore = completeRecords;
            sinceMillis = nowMillis;
        }
    }

    /** Makes the next partial record count from when it is first seen. */
    void reset() {
        recordsBefore = NONE;
    }

    /** Whether the partial record, if there is one, was first seen before this time. */
    boolean beganBefore(double millis) {
        return sinceMillis < millis;
    }
}
