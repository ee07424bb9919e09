package tinroad.admin;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import tinroad.core.Gateway;
import tinroad.fleet.Membership;

/** Routes a request to its resource by path and method. */
final class AdminRouter {
    /** Responds to a request, at once or later on the event loop. */
    @FunctionalInterface
    private interface Resource {
        void respond(Consumer<FullHttpResponse> responder);
    }

    private record Route(HttpMethod method, Resource resource) {}

    private final Map<String, Route> routes;

    AdminRouter(
            Gateway gateway, EvacuationOrders orders, Supplier<Optional<Membership>> membership) {
        EvacuationResource evacuation = new EvacuationResource(gateway, orders);
        routes =
                Map.of(
                        "/api/ready", get(new ReadinessResource(gateway)::respond),
                        "/api/telemetry", get(new MetricsResource(gateway)::respond),
                        "/api/recovery", get(new RecoveryResource(gateway)::respond),
                        "/api/settings", get(new CatalogResource(gateway)::respond),
                        "/api/members", get(new MembersResource(gateway, membership)::respond),
                        "/api/evacuate", post(evacuation::evacuate),
                        "/api/rejoin", post(evacuation::rejoin));
    }

    private static Route get(Supplier<FullHttpResponse> resource) {
        return new Route(HttpMethod.GET, responder -> responder.accept(resource.get()));
    }

    private static Route post(Resource resource) {
        return new Route(HttpMethod.POST, resource);
    }

    /** Passes the response to {@code responder}, at once or later on the event loop. */
    void respond(FullHttpRequest request, Consumer<FullHttpResponse> responder) {
        Route route =
                request.decoderResult().isFailure()
                        ? null
                        : routes.get(new QueryStringDecoder(request.uri()).path());
        if (route != null && route.method().equals(request.method())) {
            route.resource().respond(responder);
        } else {
            responder.accept(reject(request, route));
        }
    }

    private static FullHttpResponse reject(FullHttpRequest request, Route route) {
        if (request.decoderResult().isFailure()) {
            return AdminResponses.text(HttpResponseStatus.BAD_REQUEST, "not a call");
        }
        if (route == null) {
            return AdminResponses.text(HttpResponseStatus.NOT_FOUND, "no such call");
        }
        FullHttpResponse wrongMethod =
                AdminResponses.text(HttpResponseStatus.METHOD_NOT_ALLOWED, "use " + route.method());
        wrongMethod.headers().set(HttpHeaderNames.ALLOW, route.method().name());
        return wrongMethod;
    }
}
