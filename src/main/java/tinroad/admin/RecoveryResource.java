package tinroad.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.handler.codec.http.FullHttpResponse;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import tinroad.core.Gateway;
import tinroad.recovery.RecoveryPhaseTracker;
import tinroad.recovery.RestoredState;

/** Shows the recovery phase, and which learned statistics of earlier incarnations were restored. */
record RecoveryResource(Gateway gateway) {
    FullHttpResponse respond() {
        RecoveryPhaseTracker tracker = gateway.recoveryPhase();
        return AdminResponses.json(
                json -> {
                    json.writeStringField("phase", phaseName(tracker));
                    json.writeNumberField(
                            "since_ms", Math.round(gateway.nowMillis() - tracker.sinceMillis()));
                    json.writeStringField("why", tracker.reason());
                    AdminResponses.writeNumber(
                            json, "shown_per_s", tracker.demonstratedRatePerSecond());
                    AdminResponses.writeNumber(json, "full_after_ms", tracker.fullAfterMillis());
                    json.writeNumberField("life", gateway.restoredState().incarnation());
                    json.writeStringField("began", gateway.restoredState().startMode());
                    writeRestored(json);
                });
    }

    /** The JSON values are the names of the phases in lower case. */
    private static String phaseName(RecoveryPhaseTracker tracker) {
        return tracker.phase().name().toLowerCase(Locale.ROOT);
    }

    private void writeRestored(JsonGenerator json) throws IOException {
        json.writeArrayFieldStart("remembered");
        for (Map.Entry<String, RestoredState.RestoredValue> entry :
                gateway.restoredValues().entrySet()) {
            RestoredState.RestoredValue restored = entry.getValue();
            json.writeStartObject();
            json.writeStringField("what", entry.getKey());
            json.writeNumberField("value", restored.estimate().value());
            json.writeNumberField("age_ms", Math.round(restored.ageMillis()));
            json.writeNumberField("life", restored.incarnation());
            json.writeEndObject();
        }
        json.writeEndArray();
    }
}
