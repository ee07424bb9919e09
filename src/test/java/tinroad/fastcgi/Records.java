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
 * The client proxy's side of FastCGI, for tests: writes requests in many legal forms, reads
 * answers.
 */
final class Records {
    private Records() {}

    static byte[] record(int type, int id, byte[] content, int padding) {
        ByteBuffer out = ByteBuffer.allocate(8 + content.length + padding);
        out.put((byte) 1).put((byte) type).putShort((short) id).putShort((short) content.length);
        return out.put((byte) padding).put((byte) 0).put(content).array();
    }

    static byte[] begin(int id, int role, int flags) {
        return record(1, id, new byte[] {0, (byte) role, (byte) flags, 0, 0, 0, 0, 0}, 0);
    }

    /** The fields of a good request. */
    static Map<String, String> fields(String reqId) {
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

    static byte[] pairs(Map<String, String> fields, Random random) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        fields.forEach(
                (name, value) -> {
                    length(out, name.length(), random);
                    length(out, value.length(), random);
                    out.writeBytes((name + value).getBytes(StandardCharsets.ISO_8859_1));
                });
        return out.toByteArray();
    }

    /** One byte or four, as chance has it where both are legal. */
    private static void length(ByteArrayOutputStream out, int length, Random random) {
        if (length < 128 && random.nextBoolean()) {
            out.write(length);
        } else {
            out.writeBytes(ByteBuffer.allocate(4).putInt(length | 0x80000000).array());
        }
    }

    /** The records of one request: its streams are split and padded at random. */
    static List<byte[]> request(int id, Map<String, String> fields, String body, Random random) {
        List<byte[]> records = new ArrayList<>(List.of(begin(id, 1, 1)));
        stream(records, 4, id, pairs(fields, random), random);
        stream(records, 5, id, body.getBytes(StandardCharsets.ISO_8859_1), random);
        return records;
    }

    private static void stream(
            List<byte[]> records, int type, int id, byte[] bytes, Random random) {
        for (int at = 0; at < bytes.length; ) {
            int size = Math.min(bytes.length - at, 1 + random.nextInt(400));
            byte[] part = new byte[size];
            System.arraycopy(bytes, at, part, 0, size);
            records.add(record(type, id, part, random.nextInt(256)));
            at += size;
        }
        records.add(record(type, id, new byte[0], random.nextInt(8)));
    }

    static byte[] whole(int id, Map<String, String> fields, String body) {
        return Cuts.join(request(id, fields, body, new Random(id)).toArray(byte[][]::new));
    }

    /**
     * What came back, in order: {@code id: response} for each ended request, {@code id! status}
     * without one.
     */
    static List<String> answers(byte[] sent) {
        Map<Integer, String> open = new LinkedHashMap<>();
        List<String> answers = new ArrayList<>();
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
                case 6 -> open.merge(id, text, String::concat);
                case 3 -> {
                    String response = open.remove(id);
                    answers.add(response == null ? id + "! " + content[4] : id + ": " + response);
                }
                default -> answers.add("type " + type + " " + text);
            }
        }
        return answers;
    }
}
