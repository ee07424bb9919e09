package tinroad.fastcgi;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import tinroad.Cuts;

/**
 * The client proxy's side of FastCGI for tests: writes requests in many legal forms and reads
 * responses.
 */
final class Records {
    private Records() {}

    static byte[] record(int type, int id, byte[] content, int padding) {
        ByteBuffer out = ByteBuffer.allocate(8 + content.length + padding);
        out.put((byte) 1).put((byte) type).putShort((short) id).putShort((short) content.length);
        return out.put((byte) padding).put((byte) 0).put(content).array();
    }

    static byte[] beginRequest(int id, int role, int flags) {
        return record(1, id, new byte[] {0, (byte) role, (byte) flags, 0, 0, 0, 0, 0}, 0);
    }

    /** The fields of a valid request. */
    static Map<String, String> validFields(String reqId) {
        Map<String, String> fields =
                new LinkedHashMap<>(
                        Map.of(
                                "REQUEST_METHOD",
                                "POST",
                                "SCRIPT_NAME",
                                "/v1/read",
                                "HTTP_REQ_ID",
                                reqId,
                                "HTTP_REQ_TIME",
                                "1000000",
                                "HTTP_REQ_FROM",
                                "4",
                                "HTTP_REQ_OWNER",
                                "acme",
                                "HTTP_REQ_KB",
                                "24.5",
                                "HTTP_REQ_RANK",
                                "0.6250",
                                "HTTP_REQ_KEY",
                                "7f3a9c21e0b4d655"));
        fields.put("HTTP_X_LONG", "v".repeat(300));
        return fields;
    }

    static byte[] encodePairs(Map<String, String> fields, Random random) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        fields.forEach(
                (name, value) -> {
                    writeLength(out, name.length(), random);
                    writeLength(out, value.length(), random);
                    out.writeBytes((name + value).getBytes(StandardCharsets.ISO_8859_1));
                });
        return out.toByteArray();
    }

    /** Writes a length as one byte or as four, chosen at random where both are legal. */
    private static void writeLength(ByteArrayOutputStream out, int length, Random random) {
        if (length < 128 && random.nextBoolean()) {
            out.write(length);
        } else {
            out.writeBytes(ByteBuffer.allocate(4).putInt(length | 0x80000000).array());
        }
    }

    /** The records of one request, with its streams split and padded at random. */
    static List<byte[]> requestRecords(
            int id, Map<String, String> fields, String body, Random random) {
        List<byte[]> records = new ArrayList<>(List.of(beginRequest(id, 1, 1)));
        addStream(records, 4, id, encodePairs(fields, random), random);
        addStream(records, 5, id, body.getBytes(StandardCharsets.ISO_8859_1), random);
        return records;
    }

    private static void addStream(
            List<byte[]> records, int type, int id, byte[] content, Random random) {
        for (int offset = 0; offset < content.length; ) {
            int chunkSize = Math.min(content.length - offset, 1 + random.nextInt(400));
            byte[] chunk = new byte[chunkSize];
            System.arraycopy(content, offset, chunk, 0, chunkSize);
            records.add(record(type, id, chunk, random.nextInt(256)));
            offset += chunkSize;
        }
        records.add(record(type, id, new byte[0], random.nextInt(8)));
    }

    static byte[] completeRequest(int id, Map<String, String> fields, String body) {
        return Cuts.join(requestRecords(id, fields, body, new Random(id)).toArray(byte[][]::new));
    }

    /**
     * Decodes the records that came back, in order: {@code id: response} for each ended request, or
     * {@code id! status} if it ended without a response.
     */
    static List<String> responses(byte[] sent) {
        Map<Integer, String> partialResponses = new LinkedHashMap<>();
        List<String> responses = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(sent);
        while (in.hasRemaining()) {
            in.get();
            int type = in.get();
            int id = in.getShort();
            byte[] content = new byte[in.getShort() & 0xffff];
            in.getShort();
            in.get(content);
            String text = new String(content, StandardCharsets.ISO_8859_1);
            switch (type) {
                case 6 -> partialResponses.merge(id, text, String::concat);
                case 3 -> {
                    String response = partialResponses.remove(id);
                    responses.add(response == null ? id + "! " + content[4] : id + ": " + response);
                }
                default -> responses.add("type " + type + " " + text);
            }
        }
        return responses;
    }
}
