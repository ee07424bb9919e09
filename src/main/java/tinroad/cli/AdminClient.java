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

/** Client for the admin endpoint of a running gateway. */
final class AdminClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Handles the body of a successful response. */
    interface ResponseReader {
        void read(JsonNode body) throws IOException;
    }

    private AdminClient() {}

    /**
     * Requests {@code path}; a failure is reported in one line.
     *
     * @param control the address of the admin endpoint, ADDRESS:PORT
     * @param subject names what is requested, for the line that reports a failure
     * @return the exit status
     */
    static int get(
            String control,
            String path,
            String subject,
            PrintStream errors,
            ResponseReader reader) {
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
                throw new IOException("status " + response.statusCode() + ", no " + subject);
            }
            reader.read(new ObjectMapper().readTree(response.body()));
            return Command.SUCCESS;
        } catch (IllegalArgumentException e) {
            errors.println("tinroad: --control is not an ADDRESS:PORT: '" + control + "'");
            return Command.USAGE_ERROR;
        } catch (IOException e) {
            errors.println(
                    "tinroad: no "
                            + subject
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
