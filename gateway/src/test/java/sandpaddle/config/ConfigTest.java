package sandpaddle.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sandpaddle.decide.Gateway;

public class ConfigTest {
    private static final Path EXAMPLE = Path.of("examples/config.json");

    @Test
    public void theExampleIsRead() throws Exception {
        Config c = Config.load(Map.of("BALANCER_CONFIG", EXAMPLE.toString()));
        assertEquals(c.names().routes().get(0), "lookup");
        assertEquals(c.known().get(0).hosts().get(0).entry().status(), Gateway.Status.UP);
        assertEquals(c.engineIdle(), Duration.ofSeconds(15));
        assertEquals(c.settings().limits().maxAttempts(), 5);
    }

    @Test
    public void whatTheFileLacksComesFromTheEnvironment() throws Exception {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.writeString(file, Files.readString(EXAMPLE).replace("\"listen\"", "\"heard\""));
            Config c = Config.load(Map.of("BALANCER_CONFIG", file.toString(), "BALANCER_LISTEN", "127.0.0.1:4406"));
            assertEquals(c.listen().getPort(), 4406);
        } finally {
            Files.delete(file);
        }
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"\"listen\": \"127.0.0.1:3307\"", "\"listen\": \"localhost\"",
                "field 'listen' is no address of the form 10.0.0.4:8080"},
            {"\"sockets\": 1024", "\"sockets\": 3", "field 'limits.sockets' is under 128 or too large"},
            {"\"seed\": \"8c1f30d27a5be964\"", "\"seed\": \"high\"", "field 'seed' is not 16 hex digits"},
            {"\"max_attempts\": 5", "\"max_attempts\": \"5\"",
                "field 'settings.bounds.max_attempts' has the wrong type"},
            {"\"drain_grace_us\"", "\"drain\"", "field 'settings.rules.drain_grace_us' is missing"},
            {"\"health\": \"Ready\"", "\"health\": \"Well\"",
                "field 'known.events.members.hosts.health' has the unknown value 'Well'"},
            {"\"balancers\": 1", "\"balancers\": 0", "field 'settings.balancers' is under 1"},
            {"\"me\": 0", "\"me\": 1", "field 'settings.me' is no number of a gateway"},
            {"\"cold_from\": 0.3", "\"cold_from\": 1.3",
                "field 'settings.rules.cold_from' is not above 0 and up to 1"},
            {"\"max_attempts\": 5", "\"max_attempts\": 0", "field 'settings.bounds.max_attempts' is under 1"},
        };
    }

    /** Guards operators against a start with settings that mean nothing. */
    @Test(dataProvider = "faults")
    public void messagesNameTheFaultyKey(String good, String bad, String message) throws Exception {
        String text = Files.readString(EXAMPLE);
        assertEquals(text.contains(good), true, good);
        byte[] faulty = text.replace(good, bad).getBytes(StandardCharsets.UTF_8);
        assertEquals(expectThrows(FieldException.class, () -> Config.read(Json.object(faulty, ""))).getMessage(),
                message);
    }
}
