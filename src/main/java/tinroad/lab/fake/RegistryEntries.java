package tinroad.lab.fake;

/**
 * Entries of the service registry: which gateways are listed, and which of them take work. A
 * gateway is listed when its engine comes up and by each report; its entry expires a fixed time
 * after the last of either. While the registry is down, it receives nothing and no entry expires.
 * Times are in ms.
 */
public final class RegistryEntries {
    private final double entryLifetimeMillis;
    private final double[] lastReportMillis;
    private final boolean[] listed;
    private final boolean[] acceptsWork;
    private boolean down;
    private double downSinceMillis;

    /** Creates the entries of this number of gateways, none of them listed. */
    public RegistryEntries(int gateways, double entryLifetimeMillis) {
        this.entryLifetimeMillis = entryLifetimeMillis;
        lastReportMillis = new double[gateways];
        listed = new boolean[gateways];
        acceptsWork = new boolean[gateways];
    }

    /** The engine of a gateway comes up. */
    public void engineUp(int gateway, double nowMillis) {
        if (!down) {
            lastReportMillis[gateway] = nowMillis;
            listed[gateway] = true;
            acceptsWork[gateway] = true;
        }
    }

    /** A report of a gateway arrived. */
    public void heard(int gateway, boolean takesWork, double nowMillis) {
        if (!down) {
            lastReportMillis[gateway] = nowMillis;
            listed[gateway] = true;
            acceptsWork[gateway] = takesWork;
        }
    }

    /** Takes the registry down, or brings it back; time while it is down expires no entry. */
    public void down(boolean isDown, double nowMillis) {
        if (isDown && !down) {
            downSinceMillis = nowMillis;
        } else if (!isDown && down) {
            for (int g = 0; g < lastReportMillis.length; g++) {
                lastReportMillis[g] += nowMillis - downSinceMillis;
            }
        }
        down = isDown;
    }

    /** Removes expired entries from the list. */
    public void expire(double nowMillis) {
        for (int g = 0; !down && g < listed.length; g++) {
            listed[g] &= nowMillis - lastReportMillis[g] <= entryLifetimeMillis;
        }
    }

    /** Whether a gateway is listed and takes work. */
    public boolean takesWork(int gateway) {
        return listed[gateway] && acceptsWork[gateway];
    }
}
