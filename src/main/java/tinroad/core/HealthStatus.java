package tinroad.core;

import org.slf4j.Logger;

/**
 * What the gateway reports of itself: its health, to health checks and the service registry, and
 * the load level that goes out with answers. Healthy is a gateway whose controller says so, that is
 * not draining and that operators have not evacuated. Owned by the event loop.
 */
final class HealthStatus {
    private final GracefulShutdown shutdown;
    private final Logger log;
    private Gateway.HealthListener listener = healthy -> {};
    private boolean controllerHealthy;

    /** Operators took the gateway out of the registry: checks fail, and work goes on as before. */
    private boolean evacuated;

    /** Another process serves under this gateway's name: the health that it reports counts. */
    private boolean replaced;

    /** Clients can connect to this process. */
    private boolean listening;

    /** What was reported last. */
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

    /** Whether clients reach this process, it is healthy, and it goes on serving. */
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

    /** Ends an evacuation; false where the process is draining. */
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

    /** Reports the health where it has changed. */
    void update() {
        boolean next = controllerHealthy && !shutdown.isDraining() && !evacuated;
        if (next != healthy && !replaced) {
            healthy = next;
            log.info("health {}", next ? "good" : "bad");
            listener.health(next);
        }
    }
}
