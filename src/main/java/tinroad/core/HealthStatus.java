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

    void setControllerHealthy(boolean value) {
        controllerHealthy = value;
        update();
    }

    void markReplaced() {
        replaced = true;
    }

    void markListening() {
        listening = true;
    }

    /** Returns whether clients can reach this process, it is healthy, and it will go on serving. */
    boolean isReady() {
        return listening && healthy && !shutdown.isDraining();
    }

    void evacuate() {
        if (!evacuated) {
            evacuated = true;
            log.info("evacuated: out of the registry until it rejoins");
            update();
        }
    }

    /** Ends an evacuation; returns false if the process is draining. */
    boolean rejoin() {
        if (shutdown.isDraining()) {
            return false;
        }
        if (evacuated) {
            evacuated = false;
            log.info("rejoined");
            update();
        }
        return true;
    }

    /** Reports the health if it has changed. */
    void update() {
        boolean nowHealthy = controllerHealthy && !shutdown.isDraining() && !evacuated;
        if (nowHealthy != healthy && !replaced) {
            healthy = nowHealthy;
            log.info("health {}", nowHealthy ? "good" : "bad");
            listener.healthChanged(nowHealthy);
        }
    }
}
