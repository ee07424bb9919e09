package tinroad.admin;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import tinroad.core.Gateway;

/** Makes the gateway stop admitting requests without shutting down, and admit them again. */
record EvacuationResource(Gateway gateway) {
    FullHttpResponse evacuate() {
        gateway.evacuate();
        return AdminResponses.text(HttpResponseStatus.OK, "draining");
    }

    FullHttpResponse rejoin() {
        return gateway.rejoin()
                ? AdminResponses.text(HttpResponseStatus.OK, "back to work")
                : AdminResponses.text(HttpResponseStatus.CONFLICT, "this process is about to end");
    }
}
