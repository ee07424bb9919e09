package tinroad.lab.fake;

/**
 * What the roster knows: which gateways are listed, and which of them take work. A gateway is
 * listed when its engine comes up, and by a report; it lapses so long after the last of either.
 * While the roster is down nothing is heard and nothing lapses. Times in ms.
 */
public final class RegistryEntries {
    private final double lapse;
    private final double[] heardAt;
    private final boolean[] listed;
    private final boolean[] on;
    private boolean down;
    private double downAt;

    /** A list of so many gateways, none of them on it. */
    public RegistryEntries(int gateways, double lapse) {
        this.lapse = lapse;
        heardAt = new double[gateways];
        listed = new boolean[gateways];
        on = new boolean[gateways];
    }

    /** The engine of a gateway comes up. */
    public void engineUp(int gateway, double nowMillis) {
        if (!down) {
            heardAt[gateway] = nowMillis;
            listed[gateway] = true;
            on[gateway] = true;
        }
    }

    /** A report of a gateway. */
    public void heard(int gateway, boolean takesWork, double nowMillis) {
        if (!down) {
            heardAt[gateway] = nowMillis;
            listed[gateway] = true;
            on[gateway] = takesWork;
        }
    }

    /** The roster goes down, or comes back; the time it was down does not count against anybody. */
    public void down(boolean isDown, double nowMillis) {
        if (isDown && !down) {
            downAt = nowMillis;
        } else if (!isDown && down) {
            for (int g = 0; g < heardAt.length; g++) {
                heardAt[g] += nowMillis - downAt;
            }
        }
        down = isDown;
    }

    /** Takes what lapsed off the list. */
    public void expire(double nowMillis) {
        for (int g = 0; !down && g < listed.length; g++) {
            listed[g] &= nowMillis - heardAt[g] <= lapse;
        }
    }

    /** Whether callers are sent there. */
    public boolean takes(int gateway) {
        return listed[gateway] && on[gateway];
    }
}
