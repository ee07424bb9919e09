package tinroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Calls the admin endpoint of a running gateway. */
final class AdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Takes the body of a successful response. */
    interface ResponseReader {
        void read(JsonNode answer) throws IOException;
    }

    private AdminClient() {}

    /**
     * Gets {@code path} and reports failures in one line.
     *
     * @param control the endpoint, ADDRESS:PORT
     * @param what names the thing asked for, in the line that reports a failure
     * @return the exit status
     */
    static int get(
            String control, String path, String what, PrintStream errors, ResponseReader reader) {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + control + path))
                            .timeout(TIMEOUT)
                            .build();
            HttpResponse<byte[]> response =
                    HttpClient.newBuilder()
                            .version(HttpClient.Version.HTTP_1_1)
                            .connectTimeout(TIMEOUT)
                            .build()
                            .send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() != 200) {
                throw new IOException("status " + response.statusCode() + ", no " + what);
            }
            reader.read(new ObjectMapper().readTree(response.body()));
            return Command.SUCCESS;
        } catch (IllegalArgumentException e) {
            errors.println("tinroad: --control is no ADDRESS:PORT: '" + control + "'");
            return Command.USAGE_ERROR;
        } catch (IOException e) {
            errors.println(
                    "tinroad: no "
                            + what
                            + " from "
                            + control
                            + ": "
                            + (e.getMessage() == null ? e.toString() : e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return Command.FAILURE;
    }
}
