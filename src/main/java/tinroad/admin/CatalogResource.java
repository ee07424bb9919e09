package tinroad.admin;

import io.netty.handler.codec.http.FullHttpResponse;
import tinroad.catalog.Catalog;
import tinroad.core.Gateway;

/**
 * Shows which version of classes and tenants is in force, since when, how many later versions are
 * pending, and why the last one was rejected.
 */
record CatalogResource(Gateway gateway) {
    FullHttpResponse respond() {
        Catalog catalog = gateway.catalog();
        double nowMillis = gateway.nowMillis();
        return AdminResponses.json(
                json -> {
                    json.writeNumberField("epoch", catalog.epoch());
                    json.writeNumberField("number", catalog.number());
                    json.writeStringField("hash", catalog.contentHash());
                    json.writeNumberField("classes", catalog.classCount());
                    json.writeNumberField("tenants", catalog.tenantCount());
                    json.writeNumberField(
                            "since_ms", Math.round(nowMillis - gateway.catalogSinceMillis()));
                    json.writeNumberField("lag", gateway.pendingCatalogs());
                    json.writeNumberField(
                            "longest_slice_ms",
                            Math.round(1000 * gateway.longestSliceMillis()) / 1000.0);
                    json.writeStringField("refusal", gateway.lastRejection());
                    AdminResponses.writeNumber(
                            json,
                            "refused_ms",
                            gateway.lastRejection() == null
                                    ? Double.NaN
                                    : nowMillis - gateway.rejectedAtMillis());
                });
    }
}
