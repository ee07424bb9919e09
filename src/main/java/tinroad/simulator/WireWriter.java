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
 * Writes the wire's actions, one JSON object a line; {@link #ack} closes a reply and flushes it.
 */
final class WireWriter {
    private final JsonGenerator json;

    WireWriter(OutputStream out) throws IOException {
        json = new JsonFactory().createGenerator(new BufferedOutputStream(out, 1 << 16));
        json.setPrettyPrinter(new MinimalPrettyPrinter(""));
    }

    void ack(long turn) throws IOException {
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
        return new Instance(server);
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

    private final class Instance implements Controller.Actions {
        private final long server;

        Instance(long server) {
            this.server = server;
        }

        private void act(String type, Body body) {
            try {
                begin(type, server);
                body.write();
                end();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private void act(String type, String id) {
            act(type, () -> json.writeStringField("txn", id));
        }

        @Override
        public void run(String id) {
            act("serve", id);
        }

        @Override
        public void reject(String id, double stayAway, boolean last) {
            act(
                    "not_now",
                    () -> {
                        json.writeStringField("txn", id);
                        if (stayAway > 0) {
                            json.writeNumberField("hold_off", stayAway);
                        }
                        if (last) {
                            json.writeBooleanField("terminal", true);
                        }
                    });
        }

        @Override
        public void fail(String id) {
            act("report_failure", id);
        }

        @Override
        public void cancel(String id) {
            act("yank", id);
        }

        @Override
        public void callDependency(String id, double within) {
            act(
                    "reach_out",
                    () -> {
                        json.writeStringField("txn", id);
                        json.writeNumberField("within", within);
                    });
        }

        @Override
        public void skipDependency(String id) {
            act("degrade", id);
        }

        @Override
        public void retainKey(String id, double duration) {
            act(
                    "record_key",
                    () -> {
                        json.writeStringField("txn", id);
                        json.writeNumberField("keep_for", duration);
                    });
        }

        @Override
        public void releaseKey(String id) {
            act("evict", id);
        }

        @Override
        public void replayResult(String id) {
            act("reuse", id);
        }

        @Override
        public void setHealth(boolean good, boolean stored) {
            act(
                    "readiness",
                    () -> {
                        json.writeBooleanField("enable", good);
                        json.writeBooleanField("cached", stored);
                    });
        }

        @Override
        public void advertiseLoad(double value) {
            act("stamp", () -> json.writeNumberField("x", value));
        }

        @Override
        public void setIdleTimeout(double after) {
            act("keepalive", () -> json.writeNumberField("keep_for", after));
        }

        @Override
        public void scheduleTimer(String token, double delay) {
            act(
                    "after",
                    () -> {
                        json.writeStringField("token", token);
                        json.writeNumberField("sleep_for", delay);
                    });
        }

        @Override
        public void log(String text) {
            act("trace", () -> json.writeStringField("reason_text", text));
        }
    }
}
