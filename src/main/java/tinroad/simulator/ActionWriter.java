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
 * Writes the wire's actions, one JSON object a line; {@link #acknowledge} closes a reply and
 * flushes it.
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

    void crash(long server, String text) throws IOException {
        begin("crash", server);
        json.writeStringField("reason_text", text);
        end();
    }

    /** The actions of one instance. */
    Controller.Actions actions(long server) {
        return new InstanceActions(server);
    }

    private void begin(String type, long server) throws IOException {
        json.writeStartObject();
        json.writeStringField("t", type);
        json.writeNumberField("server_id", server);
    }

    private void end() throws IOException {
        json.writeEndObject();
        json.writeRaw('\n');
    }

    /** What an action writes besides its name and instance. */
    private interface Body {
        void write() throws IOException;
    }

    private final class InstanceActions implements Controller.Actions {
        private final long server;

        InstanceActions(long server) {
            this.server = server;
        }

        private void write(String type, Body body) {
            try {
                begin(type, server);
                body.write();
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
        public void setHealth(boolean healthy, boolean stored) {
            write(
                    "readiness",
                    () -> {
                        json.writeBooleanField("enable", healthy);
                        json.writeBooleanField("cached", stored);
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
