package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.Map;
import java.util.TreeMap;

/** Builds the replies to FastCGI's management records, which belong to no request. */
final class ManagementRecords {
    private static final String MAX_CONNECTIONS = "FCGI_MAX_CONNS";
    private static final String MAX_REQUESTS = "FCGI_MAX_REQS";
    private static final String MULTIPLEXES = "FCGI_MPXS_CONNS";

    private ManagementRecords() {}

    /** Returns the reply to a management record of this type. */
    static ByteBuf reply(
            ByteBufAllocator allocator, int type, ByteBuf content, int maxConnections) {
        return type == FastCgi.GET_VALUES
                ? ResponseWriter.valuesResult(allocator, requestedValues(content, maxConnections))
                : ResponseWriter.unknownType(allocator, type);
    }

    private static Map<String, String> requestedValues(ByteBuf requested, int maxConnections) {
        Map<String, String> values = new TreeMap<>();
        RequestParameters.readPairs(
                requested,
                (name, value, length) -> {
                    value.skipBytes(length);
                    switch (name) {
                        case MAX_CONNECTIONS -> values.put(name, Integer.toString(maxConnections));
                        case MAX_REQUESTS ->
                                values.put(
                                        name,
                                        Integer.toString(
                                                maxConnections
                                                        * RequestAssembler.MAX_OPEN_REQUESTS));
                        case MULTIPLEXES -> values.put(name, "1");
                        default -> {}
                    }
                });
        return values;
    }
}
