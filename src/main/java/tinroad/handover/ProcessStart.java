package tinroad.handover;

/**
 * What a process knows of others when it starts.
 *
 * @param atMillis when it started, in Unix ms
 * @param besideAnotherListener whether another process listens on the address of the gateway
 */
public record ProcessStart(long atMillis, boolean besideAnotherListener) {}
