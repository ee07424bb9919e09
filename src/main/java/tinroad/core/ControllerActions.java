package tinroad.core;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import tinroad.overload.Controller;

/**
 * Carries out the actions of the overload controller. It is created before the controller and
 * before the parts that it acts on; {@link #bind} sets those once, before the first event. Only the
 * controller calls it, on the event loop.
 */
final class ControllerActions implements Controller.Actions {
    private final Logger log;
    private final List<Frontend> frontends = new ArrayList<>();
    private ControllerDriver driver;
    private RequestLifecycle lifecycle;
    private HealthStatus health;

    ControllerActions(Logger log) {
        this.log = log;
    }

    void bind(ControllerDriver boundDriver, RequestLifecycle boundLifecycle, HealthStatus status) {
        driver = boundDriver;
        lifecycle = boundLifecycle;
        health = status;
    }

    void addFrontend(Frontend frontend) {
        frontends.add(frontend);
    }

    @Override
    public void run(String id) {
        lifecycle.run(id);
    }

    @Override
    public void reject(String id, double retryAfterMillis, boolean doNotRetry) {
        // Once another process has taken over, no Retry-After is sent, because clients would apply
        // it to that process, too.
        lifecycle.respond(
                id, Response.rejected(health.isReplaced() ? 0 : retryAfterMillis, doNotRetry));
    }

    @Override
    public void fail(String id) {
        lifecycle.fail(id);
    }

    @Override
    public void retainKey(String id, double durationMillis) {
        lifecycle.retainKey(id, durationMillis);
    }

    @Override
    public void releaseKey(String id) {
        lifecycle.releaseKey(id);
    }

    @Override
    public void replayResult(String id) {
        lifecycle.replayResult(id);
    }

    @Override
    public void setHealth(boolean healthy, boolean withoutRealWork) {
        health.setControllerHealthy(healthy);
    }

    @Override
    public void advertiseLoad(double value) {
        health.setLoadLevel(value);
    }

    @Override
    public void setIdleTimeout(double idleMillis) {
        frontends.forEach(frontend -> frontend.setIdleTimeout(idleMillis));
    }

    @Override
    public void scheduleTimer(String token, double delayMillis) {
        driver.scheduleTimer(token, delayMillis);
    }

    @Override
    public void log(String text) {
        log.info("controller: {}", text);
    }

    // The engine of this protocol neither stops runs nor calls a dependency. The settings declare
    // this, so the controller requests none of these actions.

    @Override
    public void cancel(String id) {
        logUnsupported("cancel");
    }

    @Override
    public void callDependency(String id, double timeoutMillis) {
        logUnsupported("call a dependency");
    }

    @Override
    public void skipDependency(String id) {
        logUnsupported("skip a dependency");
    }

    private void logUnsupported(String action) {
        log.warn("controller asked for an action that this site does not allow: {}", action);
    }
}
