package tinroad.cli;

import org.jline.utils.Signals;

/**
 * The handler of SIGHUP in this process. It replaces the virtual machine's handling, which ends the
 * process. A signal that arrives during the start, before there is anything to reload, stays
 * pending until there is. Thread-safe.
 */
final class HangupSignal {
    /** The action on a signal; null as long as there is nothing to reload. */
    private static Runnable reload;

    private static boolean pending;
    private static boolean takenOver;

    private HangupSignal() {}

    /** Installs the handler. Called first in a process that serves; a second call has no effect. */
    static synchronized void takeOver() {
        if (!takenOver) {
            takenOver = Signals.register("HUP", HangupSignal::received) != null;
        }
    }

    /** Whether the handler is installed; otherwise the signal ends this process. */
    static synchronized boolean isTakenOver() {
        return takenOver;
    }

    /** Sets the action on each signal, and runs it now if a signal is pending. */
    static synchronized void onReceived(Runnable newReload) {
        reload = newReload;
        if (pending) {
            pending = false;
            reload.run();
        }
    }

    private static synchronized void received() {
        if (reload == null) {
            pending = true;
        } else {
            reload.run();
        }
    }
}
