package tinroad.core;

import org.slf4j.Logger;

/**
 * What the gateway reports about itself: its health, to health checks and the service registry, and
 * the load level that is sent with answers. A gateway is healthy if its controller reports so, it
 * is not draining, and operators have not evacuated it. All methods must be called on the event
 * loop.
 */
final class HealthStatus {
    private final GracefulShutdown shutdown;
    private final Logger log;
    private Gateway.HealthListener listener = healthy -> {};
    private boolean controllerHealthy;

    /**
     * Whether operators took the gateway out of the registry: checks fail, and work goes on as
     * before.
     */
    private boolean evacuated;

    /**
     * Whether another process serves under this gateway's name, whose reported health then counts.
     */
    private boolean replaced;

    /** Whether clients can connect to this process. */
    private boolean listening;

    /** Whether an older process of the gateway may still run. */
    private boolean takingOver;

    /**
     * Whether the gateway was evacuated before this process had taken over. Then it counts as ready
     * all the same, as the older process is ended only once this one is.
     */
    private boolean evacuatedBeforeTakeover;

    /** Called once this process is able to serve, whether it is evacuated or not; then null. */
    private Runnable ableToServe = () -> {};

    /** Whether a health was reported. */
    private boolean reported;

    /** The health that was reported last. */
    private boolean healthy;

    /** The load level to advertise; NaN until the controller has set one. */
    private double loadLevel = Double.NaN;

    HealthStatus(GracefulShutdown shutdown, Logger log) {
        this.shutdown = shutdown;
        this.log = log;
    }

    void setListener(Gateway.HealthListener healthListener) {
        listener = healthListener;
    }

    boolean isHealthy() {
        return healthy;
    }

    boolean isEvacuated() {
        return evacuated;
    }

    boolean isReplaced() {
        return replaced;
    }

    double loadLevel() {
        return loadLevel;
    }

    void setLoadLevel(double value) {
        loadLevel = value;
    }

    void setAbleToServeListener(Runnable newListener) {
        ableToServe = newListener;
    }

    /**
     * Sets the health that the controller has determined. What it says of a process that was
     * replaced, and so drains, does not count.
     */
    void setControllerHealthy(boolean value) {
        controllerHealthy = replaced ? controllerHealthy : value;
        update();
    }

    void markReplaced() {
        replaced = true;
    }

    void markListening() {
        listening = true;
    }

    /** Sets whether an older process of the gateway may still run. */
    void setTakingOver(boolean value) {
        takingOver = value;
    }

    /** Returns whether clients can reach this process, it is healthy, and it will go on serving. */
    boolean isReady() {
        return listening
                && controllerHealthy
                && !shutdown.isDraining()
                && (!evacuated || evacuatedBeforeTakeover);
    }

    void evacuate() {
        if (!evacuated) {
            evacuated = true;
            evacuatedBeforeTakeover = takingOver || !listening;
            log.info("evacuated: out of the registry until it rejoins");
            update();
        }
    }

    /** Returns whether an evacuation can end: the gateway goes on, in this process or another. */
    boolean canRejoin() {
        return replaced || !shutdown.isDraining();
    }

    /** Ends an evacuation; returns false if the gateway is draining. */
    boolean rejoin() {
        if (!canRejoin()) {
            return false;
        }
        if (evacuated) {
            evacuated = false;
            log.info("rejoined");
            update();
        }
        return true;
    }

    /**
     * Reports the health if it has changed, or if this process is able to serve for the first time.
     * A process that was replaced still answers health checks, and reports nothing.
     */
    void update() {
        boolean canServe = controllerHealthy && (replaced || !shutdown.isDraining());
        boolean nowHealthy = canServe && !evacuated;
        if (nowHealthy != healthy || (canServe && !reported)) {
            healthy = nowHealthy;
            reported = true;
            log.info("health {}", nowHealthy ? "good" : "bad");
            if (!replaced) {
                listener.healthChanged(nowHealthy);
            }
        }
        if (canServe && ableToServe != null) {
            ableToServe.run();
            ableToServe = null;
        }
    }
}
