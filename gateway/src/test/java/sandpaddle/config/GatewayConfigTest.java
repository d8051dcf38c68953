package sandpaddle.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sandpaddle.decision.event.EngineStatus;

/** {@link GatewayConfig}: the platform's file, the environment and invalid settings. */
public class GatewayConfigTest {
    private static final Path EXAMPLE = Path.of("examples/config.json");

    @Test
    public void readsTheExample() throws Exception {
        GatewayConfig config = GatewayConfig.load(Map.of("BALANCER_CONFIG", EXAMPLE.toString()));
        assertEquals(config.names().requestClasses().get(0), "lookup");
        assertEquals(config.initialListEvents().get(0).engines().get(0).entry().status(), EngineStatus.UP);
        assertEquals(config.engineIdleTimeout(), Duration.ofSeconds(15));
        assertEquals(config.decisionSettings().limits().maxAttempts(), 5);
    }

    @Test
    public void readsMissingFieldsFromTheEnvironment() throws Exception {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.writeString(file, Files.readString(EXAMPLE).replace("\"listen\"", "\"heard\""));
            GatewayConfig config =
                    GatewayConfig.load(Map.of("BALANCER_CONFIG", file.toString(), "BALANCER_LISTEN", "127.0.0.1:4406"));
            assertEquals(config.listenAddress().getPort(), 4406);
        } finally {
            Files.delete(file);
        }
    }

    @DataProvider
    public Object[][] invalidSettings() {
        return new Object[][] {
            {
                "\"listen\": \"127.0.0.1:3307\"",
                "\"listen\": \"localhost\"",
                "field 'listen' is no address of the form 10.0.0.4:8080"
            },
            {"\"sockets\": 1024", "\"sockets\": 0", "field 'limits.sockets' is 0; expected 1 to 2147483647"},
            {"\"seed\": \"8c1f30d27a5be964\"", "\"seed\": \"high\"", "field 'seed' is not 16 hex digits"},
            {"\"max_attempts\": 5", "\"max_attempts\": \"5\"", "field 'settings.bounds.max_attempts' has the wrong type"
            },
            {"\"drain_grace_us\"", "\"drain\"", "field 'settings.rules.drain_grace_us' is missing"},
            {"\"me\": 0", "\"me\": 0.5", "field 'settings.me' is 0.5; expected an integer"},
            {
                "\"effect\": \"unsafe\"",
                "\"effect\": \"rare\"",
                "field 'settings.classes[2].effect' has the unknown value 'rare'; expected one of [keyed, safe, "
                        + "unsafe]"
            },
            {"\"effect\": \"unsafe\"", "\"effect\": null", "field 'settings.classes[2].effect' is missing"},
            {
                "\"hard_limit_us\": 25000000",
                "\"hard_limit_us\": 0",
                "field 'settings.classes[1].hard_limit_us' is not above 0"
            },
            {
                "\"hard_limit_us\": 25000000",
                "\"hard_limit_us\": -5",
                "field 'settings.classes[1].hard_limit_us' is not above 0"
            },
            {"\"classes\": [", "\"classes\": [], \"more\": [", "field 'settings.classes' is empty"},
        };
    }

    /** Settings that cannot be used prevent the start, with a message that names the field. */
    @Test(dataProvider = "invalidSettings")
    public void errorNamesTheInvalidField(String original, String replacement, String message) throws Exception {
        String text = Files.readString(EXAMPLE);
        assertEquals(text.contains(original), true, original);
        byte[] invalid = text.replace(original, replacement).getBytes(StandardCharsets.UTF_8);
        assertEquals(
                expectThrows(InvalidFieldException.class, () -> GatewayConfig.parse(JsonObject.parse(invalid, "")))
                        .getMessage(),
                message);
    }

    private static GatewayConfig configWith(String... replacements) throws Exception {
        String text = Files.readString(EXAMPLE);
        for (int i = 0; i < replacements.length; i += 2) {
            assertEquals(text.contains(replacements[i]), true, replacements[i]);
            text = text.replace(replacements[i], replacements[i + 1]);
        }
        return GatewayConfig.parse(JsonObject.parse(text.getBytes(StandardCharsets.UTF_8), ""));
    }

    /** An invalid entry affects only its own engine, which gets no new requests; the error names the engine. */
    @Test
    public void engineWithInvalidEntryIsDraining() throws Exception {
        EndpointListEvent event = configWith("\"health\": \"Ready\"", "\"health\": \"Well\"")
                .initialListEvents()
                .get(0);
        assertEquals(event.engines().get(0).entry().status(), EngineStatus.DRAINING);
        assertEquals(
                event.errors().get(0),
                "field 'known.events.members.hosts.health' has the unknown value 'Well'; expected one of [Gone, "
                        + "Ready, Terminating] (engine "
                        + event.engines().get(0).entry().id() + ")");
    }

    @Test
    public void acceptsIndexBeyondTheNumberOfGateways() throws Exception {
        assertEquals(configWith("\"me\": 0", "\"me\": 130.0").decisionSettings().gatewayIndex(), 130);
    }

    /** In a deployment without zones neither the settings nor the endpoint list contain any. */
    @Test
    public void readsDeploymentWithoutZones() throws Exception {
        PlatformNames none = new PlatformNames(List.of("lookup"), List.of(), List.of("std-8"), List.of());
        EndpointListEvent event = EndpointListEvent.parse(
                JsonObject.parse(
                        ("{\"n\":1,\"members\":{\"whole\":true,\"hosts\":["
                                        + "{\"host\":\"s-1\",\"dial\":\"127.0.0.1:80\",\"health\":\"Ready\"}]}}")
                                .getBytes(StandardCharsets.UTF_8),
                        ""),
                none);
        assertEquals(event.errors(), List.of());
        assertEquals(event.engines().get(0).entry().status(), EngineStatus.UP);
        assertEquals(event.engines().get(0).entry().zone(), -1);
    }

    /** A full list without a valid entry must not empty the endpoint list in use. */
    @Test
    public void ignoresFullListWithoutValidEntry() throws Exception {
        PlatformNames names = new PlatformNames(List.of("lookup"), List.of("a"), List.of("std-8"), List.of());
        EndpointListEvent event = EndpointListEvent.parse(
                JsonObject.parse(
                        "{\"n\":1,\"members\":{\"whole\":true,\"hosts\":[{},{\"host\":7}]}}"
                                .getBytes(StandardCharsets.UTF_8),
                        ""),
                names);
        assertEquals(event.fullList(), false);
        assertEquals(event.engines(), List.of());
        assertEquals(
                event.errors(),
                List.of("field 'members.hosts.host' is missing", "field 'members.hosts.host' has the wrong type"));
    }
}
