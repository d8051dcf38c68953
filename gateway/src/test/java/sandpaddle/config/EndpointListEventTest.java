package sandpaddle.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;
import sandpaddle.decision.settings.DeduplicationScope;

/** {@link EndpointListEvent}: zones and ratings of unusual entries. */
public class EndpointListEventTest {
    private static final Path EXAMPLE = Path.of("examples/config.json");

    private static GatewayConfig read(String... replacements) throws Exception {
        String text = Files.readString(EXAMPLE);
        for (int i = 0; i < replacements.length; i += 2) {
            assertTrue(text.contains(replacements[i]), replacements[i]);
            text = text.replace(replacements[i], replacements[i + 1]);
        }
        return GatewayConfig.parse(JsonObject.parse(text.getBytes(StandardCharsets.UTF_8), ""));
    }

    /** Zones missing from the settings stay distinct, since keys of requests may be valid within one zone only. */
    @Test
    public void distinguishesZonesThatTheSettingsDoNotList() throws Exception {
        GatewayConfig config = read(
                "\"failure_domains\": [\"hall-a\"]",
                "\"failure_domains\": []",
                "\"127.0.0.1:9002\", \"site\": \"hall-a\"",
                "\"127.0.0.1:9002\", \"site\": \"hall-b\"");
        List<EndpointListEvent.ListedEngine> engines =
                config.initialListEvents().get(0).engines();
        assertEquals(
                DeduplicationScope.ZONE.isSharedBy(
                        engines.get(0).entry(), engines.get(1).entry()),
                false);
        assertEquals(
                DeduplicationScope.ZONE.isSharedBy(
                        engines.get(0).entry(), engines.get(0).entry()),
                true);
    }

    /** An invalid rating must neither outweigh all other engines nor make sums of ratings infinite or NaN. */
    @Test
    public void replacesInvalidRatingByOne() throws Exception {
        for (String rating : List.of("1e400", "-1e400", "-3", "1e300")) {
            GatewayConfig config = read("\"share\": 1", "\"share\": " + rating);
            assertEquals(
                    config.initialListEvents().get(0).engines().get(0).entry().rating(), 1.0, rating);
        }
        assertEquals(
                read("\"share\": 1", "\"share\": 0.25")
                        .initialListEvents()
                        .get(0)
                        .engines()
                        .get(0)
                        .entry()
                        .rating(),
                0.25);
    }
}
