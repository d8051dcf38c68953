package sandpaddle.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Function;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.decision.settings.LoadField;
import sandpaddle.decision.settings.RequestClass;

/** What merely looks wrong is read with the meaning stated here, and told with its key. */
public class OddSettingsTest {
    private static final Path EXAMPLE = Path.of("examples/config.json");

    private static GatewayConfig read(String... goodAndBad) throws Exception {
        String text = Files.readString(EXAMPLE);
        for (int i = 0; i < goodAndBad.length; i += 2) {
            assertTrue(text.contains(goodAndBad[i]), goodAndBad[i]);
            text = text.replace(goodAndBad[i], goodAndBad[i + 1]);
        }
        return GatewayConfig.parse(JsonObject.parse(text.getBytes(StandardCharsets.UTF_8), ""));
    }

    private static RequestClass cls(GatewayConfig c, int i) {
        return c.decisionSettings().classes().get(i);
    }

    private static Object[] odd(
            String good, String bad, Function<GatewayConfig, Object> read, Object as, String warning) {
        return new Object[] {good, bad, read, as, warning};
    }

    @DataProvider
    public Object[][] ofTheSite() {
        return new Object[][] {
            odd(
                    "\"balancers\": 1",
                    "\"balancers\": 0",
                    c -> c.decisionSettings().gateways(),
                    1,
                    "field 'settings.balancers' is 0: read as 1, this one"),
            odd(
                    "\"balancers\": 1",
                    "\"balancers\": 4294967296",
                    c -> c.decisionSettings().gateways(),
                    Integer.MAX_VALUE,
                    "field 'settings.balancers' is 4294967296: read as 2147483647, this one"),
            odd(
                    "\"me\": 0",
                    "\"me\": -1",
                    c -> c.decisionSettings().gatewayIndex(),
                    0,
                    "field 'settings.me' is -1: read as 0, the first"),
            odd(
                    "\"me\": 0",
                    "\"me\": 7",
                    c -> c.decisionSettings().gatewayIndex(),
                    7,
                    "field 'settings.me' is 7 of 1: its share of the traffic stays one of 1"),
            odd(
                    "\"zone\": 0",
                    "\"zone\": -1",
                    c -> c.decisionSettings().zone(),
                    -1,
                    "field 'settings.zone' is -1: this gateway counts as in none"),
            odd(
                    "\"zone\": 0",
                    "\"zone\": null",
                    c -> c.decisionSettings().zone(),
                    -1,
                    "field 'settings.zone' is missing: this gateway counts as in none"),
            odd(
                    "\"zone\": 0",
                    "\"zone\": 3",
                    c -> c.decisionSettings().zone(),
                    -1,
                    "field 'settings.zone' is 3: this gateway counts as in none"),
            odd(
                    "\"discovery\": \"automatic\"",
                    "\"discovery\": \"carrier\"",
                    c -> c.decisionSettings().subscribe(),
                    false,
                    "field 'settings.discovery' has the unknown value 'carrier': changes are taken to come unasked"),
            odd(
                    "\"failure_domains\": [\"hall-a\"]",
                    "\"failure_domains\": []",
                    c -> c.names().zones(),
                    List.of(),
                    "field 'settings.failure_domains' is empty: each zone that a list names counts as one of its own"),
            odd(
                    "\"models\": [\"toy\"]",
                    "\"models\": []",
                    c -> c.decisionSettings().kinds().size(),
                    1,
                    "field 'settings.models' is empty: engines count by their position and rating"),
        };
    }

    @DataProvider
    public Object[][] ofClasses() {
        return new Object[][] {
            odd(
                    "\"aim_us\": 1500000",
                    "\"aim_us\": 99000000",
                    c -> cls(c, 0).latencyObjectiveUs(),
                    7_500_000L,
                    "field 'settings.classes[0].aim_us' is above 'hard_limit_us': every answer before the deadline is "
                            + "in time"),
            odd(
                    "\"aim_us\": 1500000",
                    "\"aim_us\": 0",
                    c -> cls(c, 0).latencyObjectiveUs(),
                    750_000L,
                    "field 'settings.classes[0].aim_us' is 0 or missing beside a stretch: read as a tenth of the "
                            + "deadline"),
            odd(
                    "\"aim_us\": 1500000, \"aim_stretch\": 1.5",
                    "\"aim_us\": 0, \"aim_stretch\": null",
                    c -> cls(c, 0).latencyObjectiveUs(),
                    7_500_000L,
                    "field 'settings.classes[0].aim_us' is 0 or missing: no answer can be in time, all before the "
                            + "deadline count alike"),
            odd(
                    "\"aim_stretch\": 1.5",
                    "\"aim_stretch\": 1e300",
                    c -> cls(c, 0).objectiveStretch(),
                    1e6,
                    "field 'settings.classes[0].aim_stretch' is 1.0E300: read as 1000000"),
            odd("\"aim_us\": 3000000", "\"aim_us\": 3000000.75", c -> cls(c, 1).latencyObjectiveUs(), 3_000_000L, null),
            odd(
                    "\"hard_limit_us\": 25000000",
                    "\"hard_limit_us\": 1e30",
                    c -> cls(c, 1).deadlineUs(),
                    31_536_000_000_000L,
                    "field 'settings.classes[1].hard_limit_us' is 1.0E30: read as 31536000000000"),
            odd(
                    "\"value\": 1.0",
                    "\"value\": 0",
                    c -> cls(c, 0).priorityWeight(),
                    0.0,
                    "field 'settings.classes[0].value' is 0: its answers earn nothing, and it is served all the same"),
            odd(
                    "\"value\": 1.0",
                    "\"value\": null",
                    c -> cls(c, 0).priorityWeight(),
                    1.0,
                    "field 'settings.classes[0].value' is missing: read as 1"),
            odd(
                    "\"late_worth\": 0.1",
                    "\"late_worth\": 7",
                    c -> cls(c, 0).latePriorityWeight(),
                    1.0,
                    "field 'settings.classes[0].late_worth' is 7: read as 1"),
            odd(
                    "\"name\": \"report\"",
                    "\"name\": \"lookup\"",
                    c -> c.names().requestClasses().indexOf("lookup"),
                    0,
                    "field 'settings.classes[1].name' is 'lookup' a second time: no query can name this class"),
            odd(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"unsafe\", \"key_scope\": \"rack\"",
                    c -> cls(c, 2).idempotency(),
                    Idempotency.NOT_IDEMPOTENT,
                    null),
            odd(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"keyed\", \"key_scope\": \"rack\", \"window_us\": 5",
                    c -> cls(c, 2).idempotency(),
                    Idempotency.NOT_IDEMPOTENT,
                    "field 'settings.classes[2].key_scope' has the unknown value 'rack': what may have run is not sent "
                            + "again, as if the effect were 'unsafe'"),
            odd(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"keyed\"",
                    c -> cls(c, 2).deduplicationWindowUs(),
                    0L,
                    "field 'settings.classes[2].window_us' is 0 or missing: what may have run is not sent again"),
            odd(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"unsafe\", \"allowed_on\": [\"toy\", 0.0, 0]",
                    c -> cls(c, 2).permittedKinds(),
                    List.of(0, 0, 0),
                    null),
            odd(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"unsafe\", \"failure_domains_allowed\": [\"hall-a\"]",
                    c -> cls(c, 2).permittedZones(),
                    List.of(0),
                    null),
            odd(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"unsafe\", \"failure_domains_allowed\": [0, \"hall-z\"]",
                    c -> cls(c, 2).permittedZones(),
                    List.of(0),
                    "field 'settings.classes[2].failure_domains_allowed' names "
                            + "hall-z, which is not in 'failure_domains': no engine is known to be of it"),
            odd(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"unsafe\", \"allowed_on\": []",
                    c -> cls(c, 2).permittedKinds(),
                    List.of(),
                    "field 'settings.classes[2].allowed_on' allows nothing: requests of this class are " + "refused"),
        };
    }

    @DataProvider
    public Object[][] ofReportsAndBounds() {
        return new Object[][] {
            odd(
                    "\"class_threads\": [1, 3, 2]",
                    "\"class_threads\": [0, null]",
                    c -> c.decisionSettings().classes().stream()
                            .map(RequestClass::threads)
                            .toList(),
                    List.of(1, 1, 1),
                    "field 'settings.specifics.class_threads[0]' is 0: read as 1"),
            odd(
                    "\"fields\": [\"utilization\", \"backlog\", \"x0\"]",
                    "\"fields\": [\"mood\", \"x0\", null]",
                    c -> c.decisionSettings().reportFields().indexOf(LoadField.MEMORY),
                    1,
                    "field 'settings.report.fields' has the unknown value 'mood': what it tells is not heeded"),
            odd(
                    "\"fields\": [\"utilization\", \"backlog\", \"x0\"]",
                    "\"fields\": [\"recent_ms\"]",
                    c -> c.decisionSettings().reportFields(),
                    List.of(),
                    "field 'settings.report.fields' names nothing that tells of load: reports are not heeded"),
            odd(
                    "\"how\": \"inline\"",
                    "\"how\": \"never\"",
                    c -> c.decisionSettings().reportsInAnswers(),
                    false,
                    "field 'settings.report.how' has the unknown value 'never': answers are taken to hold no reports"),
            odd(
                    "\"report\": ",
                    "\"tale\": ",
                    c -> c.decisionSettings().reportFields(),
                    List.of(),
                    "field 'settings.report.how' is missing: answers are taken to hold no reports"),
            odd(
                    "\"max_attempts\": 5",
                    "\"max_attempts\": 0",
                    c -> c.decisionSettings().limits().maxAttempts(),
                    0,
                    "field 'settings.bounds.max_attempts' allows none: every request is refused"),
            odd(
                    "\"max_attempts\": 5",
                    "\"max_attempts\": 4294967296",
                    c -> c.decisionSettings().limits().maxAttempts(),
                    Integer.MAX_VALUE,
                    "field 'settings.bounds.max_attempts' is 4294967296: read as 2147483647"),
            odd(
                    "\"most_held\": 20000",
                    "\"most_held\": 0",
                    c -> c.decisionSettings().limits().maxQueued(),
                    0,
                    "field 'settings.bounds.most_held' allows none: every request is turned away"),
            odd(
                    "\"cancel\": true",
                    "\"cancel\": null",
                    c -> c.decisionSettings().limits().cancel(),
                    false,
                    "field 'settings.bounds.cancel' is missing: read as not permitted"),
            odd(
                    "\"max_retry_after_us\": 1000000",
                    "\"max_retry_after_us\": 1e15",
                    c -> c.decisionSettings().limits().maxRetryAfterUs(),
                    60_000_000L,
                    "field 'settings.bounds."
                            + "max_retry_after_us' is 1.0E15: read as 60000000, longer advice is not given"),
            odd(
                    "\"connect_timeout_us\": 250000",
                    "\"connect_timeout_us\": 0",
                    c -> c.connectTimeout().toMillis(),
                    1L,
                    "field 'settings.bounds.connect_timeout_us' is 0: read as 1000"),
            odd(
                    "\"connect_timeout_us\": 250000",
                    "\"connect_timeout_us\": null",
                    c -> c.connectTimeout().toMillis(),
                    250L,
                    "field 'settings.bounds.connect_timeout_us' is missing: read as 250000"),
            odd(
                    "\"conn_idle_us\": 15000000",
                    "\"conn_idle_us\": 0",
                    c -> c.engineIdleTimeout().toMillis(),
                    1L,
                    "field 'settings.bounds.conn_idle_us' is 0: read as 1000"),
        };
    }

    @DataProvider
    public Object[][] ofRules() {
        return new Object[][] {
            odd(
                    "\"cold_from\": 0.3",
                    "\"cold_from\": 0",
                    c -> c.decisionSettings().rules().slowStartFrom(),
                    0.0,
                    "field 'settings.rules.cold_from' is 0: an engine gets nothing as it starts, and more as it warms "
                            + "up"),
            odd(
                    "\"cold_from\": 0.3",
                    "\"cold_from\": 1.3",
                    c -> c.decisionSettings().rules().slowStartFrom(),
                    1.0,
                    "field 'settings.rules.cold_from' is 1.3: read as 1"),
            odd(
                    "\"cold_us\": 15000000",
                    "\"cold_us\": -1",
                    c -> c.decisionSettings().rules().slowStartUs(),
                    0L,
                    "field 'settings.rules.cold_us' is -1: read as 0"),
            odd(
                    "\"tip_multiple\": 4.0",
                    "\"tip_multiple\": 0",
                    c -> c.decisionSettings().rules().overloadMultiple(),
                    0.0,
                    "field 'settings.rules.tip_multiple' is 0: cold engines get next to nothing until they are warm"),
            odd(
                    "\"cold_from\": 0.3",
                    "\"cold_from\": 0.3, \"extra_share\": 0.1, \"budget_free\": 8",
                    c -> c.decisionSettings().rules().retryBudgetWindowUs(),
                    600_000_000L,
                    "field 'settings.rules.budget_span_us' is "
                            + "0 or missing beside a budget: further attempts are counted over all time"),
            odd(
                    "\"cold_from\": 0.3",
                    "\"cold_from\": 0.3, \"budget_free\": 8, \"budget_span_us\": 2400000000",
                    c -> c.decisionSettings().rules().retryBudgetFloor(),
                    2.0,
                    null),
            odd(
                    "\"size_cores\": [8]",
                    "\"size_cores\": [-8]",
                    c -> c.decisionSettings().kinds().get(0).cores(),
                    0.0,
                    "field 'settings.specifics.size_cores[0]' is -8: read as 0, as if it were not told"),
            odd(
                    "\"size_cores\": [8]",
                    "\"size_cores\": [8.5]",
                    c -> c.decisionSettings().kinds().get(0).cores(),
                    8.5,
                    null),
            odd(
                    "\"progress_us\": 500000",
                    "\"progress_us\": -1",
                    c -> c.decisionSettings().features().progressIntervalUs(),
                    0L,
                    "field 'settings.specifics.progress_us' is -1: read as 0"),
            odd(
                    "\"probe\": 0.0081",
                    "\"probe\": -3",
                    c -> c.decisionSettings().costs().healthCheck(),
                    0.0,
                    "field 'settings.charges.probe' is -3: read as 0"),
            odd(
                    "\"balancers\": 1",
                    "\"balancers\": 1, \"tenants\": [{\"fraction\": 0.7}, {\"fraction\": 0.7}]",
                    c -> c.decisionSettings().gateways(),
                    1,
                    "field 'settings.tenants' have fractions that add up to 1.4, not "
                            + "1: decisions treat all tenants alike"),
            odd(
                    "\"balancers\": 1",
                    "\"balancers\": 1, \"tenants\": [{\"fraction\": 0.7}, {\"fraction\": 0.3}, 4]",
                    c -> c.decisionSettings().gateways(),
                    1,
                    null),
        };
    }

    /** {@code warning}: null where nothing looks wrong. */
    private static void reads(String good, String bad, Function<GatewayConfig, Object> read, Object as, String warning)
            throws Exception {
        GatewayConfig c = read(good, bad);
        assertEquals(read.apply(c), as);
        if (warning == null) {
            assertEquals(c.warnings(), List.of());
        } else {
            assertTrue(c.warnings().contains(warning), c.warnings().toString());
        }
    }

    @Test(dataProvider = "ofTheSite")
    public void aSiteThatLooksWrongIsReadAndTold(
            String good, String bad, Function<GatewayConfig, Object> read, Object as, String warning) throws Exception {
        reads(good, bad, read, as, warning);
    }

    @Test(dataProvider = "ofClasses")
    public void classesThatLookWrongAreReadAndTold(
            String good, String bad, Function<GatewayConfig, Object> read, Object as, String warning) throws Exception {
        reads(good, bad, read, as, warning);
    }

    @Test(dataProvider = "ofReportsAndBounds")
    public void boundsThatLookWrongAreReadAndTold(
            String good, String bad, Function<GatewayConfig, Object> read, Object as, String warning) throws Exception {
        reads(good, bad, read, as, warning);
    }

    @Test(dataProvider = "ofRules")
    public void rulesThatLookWrongAreReadAndTold(
            String good, String bad, Function<GatewayConfig, Object> read, Object as, String warning) throws Exception {
        reads(good, bad, read, as, warning);
    }

    /** Guards the log of an ordinary site. */
    @Test
    public void anOrdinarySiteWarnsOfNothing() throws Exception {
        assertEquals(read().warnings(), List.of());
    }
}
