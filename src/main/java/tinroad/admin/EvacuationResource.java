package tinroad.admin;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.Consumer;
import tinroad.core.Gateway;

/** Makes the gateway stop admitting requests without shutting down, and admit them again. */
record EvacuationResource(Gateway gateway, EvacuationOrders orders) {
    void evacuate(Consumer<FullHttpResponse> responder) {
        orders.carryOut(
                true,
                () -> responder.accept(AdminResponses.text(HttpResponseStatus.OK, "draining")));
    }

    void rejoin(Consumer<FullHttpResponse> responder) {
        if (!gateway.canRejoin()) {
            responder.accept(
                    AdminResponses.text(
                            HttpResponseStatus.CONFLICT, "this process is about to end"));
            return;
        }
        orders.carryOut(
                false,
                () -> responder.accept(AdminResponses.text(HttpResponseStatus.OK, "back to work")));
    }
}
