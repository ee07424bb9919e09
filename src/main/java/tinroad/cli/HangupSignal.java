package tinroad.cli;

import org.jline.utils.Signals;

/**
 * SIGHUP of this process, taken over from the virtual machine, which would end on it. One that
 * comes during the start, before there is anything to reload, is kept and counts once there is. Any
 * thread.
 */
final class HangupSignal {
    /** What a signal does; null as long as there is nothing to reload. */
    private static Runnable reload;

    private static boolean pending;
    private static boolean takenOver;

    private HangupSignal() {}

    /** To be called first of all in a process that serves; a second call changes nothing. */
    static synchronized void takeOver() {
        if (!takenOver) {
            takenOver = Signals.register("HUP", HangupSignal::received) != null;
        }
    }

    /** Whether the signal can be handled here: else it ends this process. */
    static synchronized boolean isTakenOver() {
        return takenOver;
    }

    /** Sets what each signal does from now on, and does it now where one has come before. */
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
