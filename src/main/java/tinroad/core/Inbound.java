package tinroad.core;

import io.netty.buffer.ByteBuf;

/**
 * A request as a front read it, free of its protocol.
 *
 * @param id the try's id, 16 hex digits, new with every try
 * @param arrivedAt when it came to the machine, in Unix milliseconds
 * @param kind the name of its class
 * @param owner the name of its tenant
 * @param key what a read is about, or null
 * @param body its bytes, only valid during the call that hands it over
 */
public record Inbound(String id, double arrivedAt, String kind, String owner, int caller, double memoryKb,
        double rank, String key, ByteBuf body) { }
