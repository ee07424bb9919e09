package tinroad.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import tinroad.overload.Controller;

/**
 * Writes the actions of the simulator's protocol, one JSON object per line. {@link #acknowledge}
 * ends the reply to a batch and flushes it.
 */
final class ActionWriter {
    private final JsonGenerator json;

    ActionWriter(OutputStream out) throws IOException {
        json = new JsonFactory().createGenerator(new BufferedOutputStream(out, 1 << 16));
        json.setPrettyPrinter(new MinimalPrettyPrinter(""));
    }

    void acknowledge(long turn) throws IOException {
        json.writeStartObject();
        json.writeStringField("t", "ack");
        json.writeNumberField("turn", turn);
        end();
        json.flush();
    }

    void crash(long serverId, String reason) throws IOException {
        begin("crash", serverId);
        json.writeStringField("reason_text", reason);
        end();
    }

    /** Returns the actions of the controller of one server. */
    Controller.Actions actions(long serverId) {
        return new InstanceActions(serverId);
    }

    private void begin(String type, long serverId) throws IOException {
        json.writeStartObject();
        json.writeStringField("t", type);
        json.writeNumberField("server_id", serverId);
    }

    private void end() throws IOException {
        json.writeEndObject();
        json.writeRaw('\n');
    }

    /** Writes the fields of an action other than its type and server. */
    private interface FieldWriter {
        void write() throws IOException;
    }

    /** The actions of one controller, written with its server's number. */
    private final class InstanceActions implements Controller.Actions {
        private final long serverId;

        InstanceActions(long serverId) {
            this.serverId = serverId;
        }

        private void write(String type, FieldWriter fields) {
            try {
                begin(type, serverId);
                fields.write();
                end();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private void write(String type, String id) {
            write(type, () -> json.writeStringField("txn", id));
        }

        @Override
        public void run(String id) {
            write("serve", id);
        }

        @Override
        public void reject(String id, double retryAfterMillis, boolean doNotRetry) {
            write(
                    "not_now",
                    () -> {
                        json.writeStringField("txn", id);
                        if (retryAfterMillis > 0) {
                            json.writeNumberField("hold_off", retryAfterMillis);
                        }
                        if (doNotRetry) {
                            json.writeBooleanField("terminal", true);
                        }
                    });
        }

        @Override
        public void fail(String id) {
            write("report_failure", id);
        }

        @Override
        public void cancel(String id) {
            write("yank", id);
        }

        @Override
        public void callDependency(String id, double timeoutMillis) {
            write(
                    "reach_out",
                    () -> {
                        json.writeStringField("txn", id);
                        json.writeNumberField("within", timeoutMillis);
                    });
        }

        @Override
        public void skipDependency(String id) {
            write("degrade", id);
        }

        @Override
        public void retainKey(String id, double durationMillis) {
            write(
                    "record_key",
                    () -> {
                        json.writeStringField("txn", id);
                        json.writeNumberField("keep_for", durationMillis);
                    });
        }

        @Override
        public void releaseKey(String id) {
            write("evict", id);
        }

        @Override
        public void replayResult(String id) {
            write("reuse", id);
        }

        @Override
        public void setHealth(boolean healthy, boolean withoutRealWork) {
            write(
                    "readiness",
                    () -> {
                        json.writeBooleanField("enable", healthy);
                        json.writeBooleanField("cached", withoutRealWork);
                    });
        }

        @Override
        public void advertiseLoad(double value) {
            write("stamp", () -> json.writeNumberField("x", value));
        }

        @Override
        public void setIdleTimeout(double idleMillis) {
            write("keepalive", () -> json.writeNumberField("keep_for", idleMillis));
        }

        @Override
        public void scheduleTimer(String token, double delayMillis) {
            write(
                    "after",
                    () -> {
                        json.writeStringField("token", token);
                        json.writeNumberField("sleep_for", delayMillis);
                    });
        }

        @Override
        public void log(String text) {
            write("trace", () -> json.writeStringField("reason_text", text));
        }
    }
}
