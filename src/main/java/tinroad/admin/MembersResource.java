package tinroad.admin;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import tinroad.core.Gateway;
import tinroad.fleet.MemberUpdate;
import tinroad.fleet.Membership;

/** Shows the members of the fleet as this gateway knows them, starting with itself. */
record MembersResource(Gateway gateway, Supplier<Optional<Membership>> membership) {
    FullHttpResponse respond() {
        return membership
                .get()
                .map(this::members)
                .orElseGet(
                        () ->
                                AdminResponses.text(
                                        HttpResponseStatus.CONFLICT,
                                        "this gateway speaks with no others"));
    }

    private FullHttpResponse members(Membership fleetMembership) {
        return AdminResponses.json(
                json -> {
                    json.writeBooleanField("cut", fleetMembership.suspectsPartition());
                    json.writeNumberField("doubts", fleetMembership.healthPenalty());
                    json.writeArrayFieldStart("members");
                    for (Membership.MemberEntry entry :
                            fleetMembership.entries(gateway.nowMillis())) {
                        MemberUpdate update = entry.update();
                        json.writeStartObject();
                        json.writeStringField("name", update.name());
                        // The JSON values are the names of the statuses in lower case.
                        json.writeStringField(
                                "status", update.status().name().toLowerCase(Locale.ROOT));
                        json.writeStringField("zone", update.zone());
                        json.writeStringField("address", update.address());
                        json.writeNumberField("life", update.incarnation().process());
                        json.writeNumberField("since_ms", Math.round(entry.sinceMillis()));
                        json.writeStringField("by", update.by());
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                });
    }
}
