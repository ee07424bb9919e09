package tinroad.admin;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import tinroad.core.Gateway;

/** Shows whether the gateway admits requests. */
record ReadinessResource(Gateway gateway) {
    FullHttpResponse respond() {
        return gateway.ready()
                ? AdminResponses.text(HttpResponseStatus.OK, "ready")
                : AdminResponses.text(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready");
    }
}
