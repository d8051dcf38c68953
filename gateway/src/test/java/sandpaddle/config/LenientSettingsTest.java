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

/** Implausible settings of the platform are replaced by usable values, with a warning that names the key. */
public class LenientSettingsTest {
    private static final Path EXAMPLE = Path.of("examples/config.json");

    private static GatewayConfig read(String... replacements) throws Exception {
        String text = Files.readString(EXAMPLE);
        for (int i = 0; i < replacements.length; i += 2) {
            assertTrue(text.contains(replacements[i]), replacements[i]);
            text = text.replace(replacements[i], replacements[i + 1]);
        }
        return GatewayConfig.parse(JsonObject.parse(text.getBytes(StandardCharsets.UTF_8), ""));
    }

    private static RequestClass requestClass(GatewayConfig config, int index) {
        return config.decisionSettings().classes().get(index);
    }

    private static Object[] testCase(
            String original,
            String replacement,
            Function<GatewayConfig, Object> read,
            Object expected,
            String warning) {
        return new Object[] {original, replacement, read, expected, warning};
    }

    @DataProvider
    public Object[][] deploymentSettings() {
        return new Object[][] {
            testCase(
                    "\"balancers\": 1",
                    "\"balancers\": 0",
                    config -> config.decisionSettings().gateways(),
                    1,
                    "field 'settings.balancers' is 0; expected 1 or more: read as 1"),
            testCase(
                    "\"balancers\": 1",
                    "\"balancers\": 4294967296",
                    config -> config.decisionSettings().gateways(),
                    Integer.MAX_VALUE,
                    "field 'settings.balancers' is 4294967296; expected 2147483647 or less: read as 2147483647"),
            testCase(
                    "\"me\": 0",
                    "\"me\": -1",
                    config -> config.decisionSettings().gatewayIndex(),
                    0,
                    "field 'settings.me' is -1; expected 0 or more: read as 0"),
            testCase(
                    "\"me\": 0",
                    "\"me\": 7",
                    config -> config.decisionSettings().gatewayIndex(),
                    7,
                    "field 'settings.me' is 7; expected less than 'balancers' (1): read as given, with a "
                            + "traffic share of 1/1"),
            testCase(
                    "\"zone\": 0",
                    "\"zone\": -1",
                    config -> config.decisionSettings().zone(),
                    -1,
                    "field 'settings.zone' is -1: this gateway counts as in none"),
            testCase(
                    "\"zone\": 0",
                    "\"zone\": null",
                    config -> config.decisionSettings().zone(),
                    -1,
                    "field 'settings.zone' is missing: this gateway counts as in none"),
            testCase(
                    "\"zone\": 0",
                    "\"zone\": 3",
                    config -> config.decisionSettings().zone(),
                    -1,
                    "field 'settings.zone' is 3: this gateway counts as in none"),
            testCase(
                    "\"discovery\": \"automatic\"",
                    "\"discovery\": \"carrier\"",
                    config -> config.decisionSettings().subscribe(),
                    false,
                    "field 'settings.discovery' has the unknown value 'carrier'; expected one of [automatic, "
                            + "subscribe]: changes are taken to come unasked"),
            testCase(
                    "\"failure_domains\": [\"hall-a\"]",
                    "\"failure_domains\": []",
                    config -> config.names().zones(),
                    List.of(),
                    "field 'settings.failure_domains' is empty; expected the names of zones: each zone name in an "
                            + "endpoint list is treated as a separate zone"),
            testCase(
                    "\"models\": [\"toy\"]",
                    "\"models\": []",
                    config -> config.decisionSettings().kinds().size(),
                    1,
                    "field 'settings.models' is empty; expected the names of engine kinds: engines count by "
                            + "their position and rating"),
        };
    }

    @DataProvider
    public Object[][] classSettings() {
        return new Object[][] {
            testCase(
                    "\"aim_us\": 1500000",
                    "\"aim_us\": 99000000",
                    config -> requestClass(config, 0).latencyObjectiveUs(),
                    7_500_000L,
                    "field 'settings.classes[0].aim_us' is above 'hard_limit_us': read as 'hard_limit_us', so every "
                            + "answer before the deadline meets the latency objective"),
            testCase(
                    "\"aim_us\": 1500000",
                    "\"aim_us\": 0",
                    config -> requestClass(config, 0).latencyObjectiveUs(),
                    750_000L,
                    "field 'settings.classes[0].aim_us' is 0 or missing beside a stretch: read as a tenth of the "
                            + "deadline"),
            testCase(
                    "\"aim_us\": 1500000, \"aim_stretch\": 1.5",
                    "\"aim_us\": 0, \"aim_stretch\": null",
                    config -> requestClass(config, 0).latencyObjectiveUs(),
                    7_500_000L,
                    "field 'settings.classes[0].aim_us' is 0 or missing; expected above 0: read as 'hard_limit_us', "
                            + "since no answer can meet it and all answers before the deadline count alike"),
            testCase(
                    "\"aim_stretch\": 1.5",
                    "\"aim_stretch\": 1e300",
                    config -> requestClass(config, 0).objectiveStretch(),
                    1e6,
                    "field 'settings.classes[0].aim_stretch' is 1.0E300; expected 1000000 or less: read as 1000000"),
            testCase(
                    "\"aim_us\": 3000000",
                    "\"aim_us\": 3000000.75",
                    config -> requestClass(config, 1).latencyObjectiveUs(),
                    3_000_000L,
                    null),
            testCase(
                    "\"hard_limit_us\": 25000000",
                    "\"hard_limit_us\": 1e30",
                    config -> requestClass(config, 1).deadlineUs(),
                    31_536_000_000_000L,
                    "field 'settings.classes[1].hard_limit_us' is 1.0E30; expected 31536000000000 or less: "
                            + "read as 31536000000000"),
            testCase(
                    "\"value\": 1.0",
                    "\"value\": 0",
                    config -> requestClass(config, 0).priorityWeight(),
                    0.0,
                    "field 'settings.classes[0].value' is 0: requests of this class have no priority weight, but are "
                            + "still served"),
            testCase(
                    "\"value\": 1.0",
                    "\"value\": null",
                    config -> requestClass(config, 0).priorityWeight(),
                    1.0,
                    "field 'settings.classes[0].value' is missing: read as 1"),
            testCase(
                    "\"late_worth\": 0.1",
                    "\"late_worth\": 7",
                    config -> requestClass(config, 0).latePriorityWeight(),
                    1.0,
                    "field 'settings.classes[0].late_worth' is 7; expected 1 or less: read as 1"),
            testCase(
                    "\"name\": \"report\"",
                    "\"name\": \"lookup\"",
                    config -> config.names().requestClasses().indexOf("lookup"),
                    0,
                    "field 'settings.classes[1].name' is 'lookup', which an earlier class has; expected a unique "
                            + "name: no query can select this class"),
            testCase(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"unsafe\", \"key_scope\": \"rack\"",
                    config -> requestClass(config, 2).idempotency(),
                    Idempotency.NOT_IDEMPOTENT,
                    null),
            testCase(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"keyed\", \"key_scope\": \"rack\", \"window_us\": 5",
                    config -> requestClass(config, 2).idempotency(),
                    Idempotency.NOT_IDEMPOTENT,
                    "field 'settings.classes[2].key_scope' has the unknown value 'rack'; expected one of [all, "
                            + "cell, zone]: requests that may have run are not retried, as with the effect 'unsafe'"),
            testCase(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"keyed\"",
                    config -> requestClass(config, 2).deduplicationWindowUs(),
                    0L,
                    "field 'settings.classes[2].window_us' is 0 or missing: what may have run is not sent again"),
            testCase(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"unsafe\", \"allowed_on\": [\"toy\", 0.0, 0]",
                    config -> requestClass(config, 2).permittedKinds(),
                    List.of(0, 0, 0),
                    null),
            testCase(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"unsafe\", \"failure_domains_allowed\": [\"hall-a\"]",
                    config -> requestClass(config, 2).permittedZones(),
                    List.of(0),
                    null),
            testCase(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"unsafe\", \"failure_domains_allowed\": [0, \"hall-z\"]",
                    config -> requestClass(config, 2).permittedZones(),
                    List.of(0),
                    "field 'settings.classes[2].failure_domains_allowed' names "
                            + "hall-z, which is not in 'failure_domains': no engine is known to be of it"),
            testCase(
                    "\"effect\": \"unsafe\"",
                    "\"effect\": \"unsafe\", \"allowed_on\": []",
                    config -> requestClass(config, 2).permittedKinds(),
                    List.of(),
                    "field 'settings.classes[2].allowed_on' permits no engine kind or zone: requests of this class "
                            + "are refused"),
        };
    }

    @DataProvider
    public Object[][] reportAndLimitSettings() {
        return new Object[][] {
            testCase(
                    "\"class_threads\": [1, 3, 2]",
                    "\"class_threads\": [0, null]",
                    config -> config.decisionSettings().classes().stream()
                            .map(RequestClass::threads)
                            .toList(),
                    List.of(1, 1, 1),
                    "field 'settings.specifics.class_threads[0]' is 0; expected 1 or more: read as 1"),
            testCase(
                    "\"fields\": [\"utilization\", \"backlog\", \"x0\"]",
                    "\"fields\": [\"mood\", \"x0\", null]",
                    config -> config.decisionSettings().reportFields().indexOf(LoadField.MEMORY),
                    1,
                    "field 'settings.report.fields' has the unknown value 'mood'; expected one of [backlog, "
                            + "errors_per_s, outstanding, recent_ms, throughput, utilization, x0, x1]: "
                            + "this value of load reports is ignored"),
            testCase(
                    "\"fields\": [\"utilization\", \"backlog\", \"x0\"]",
                    "\"fields\": [\"recent_ms\"]",
                    config -> config.decisionSettings().reportFields(),
                    List.of(),
                    "field 'settings.report.fields' names nothing that tells of load: reports are not heeded"),
            testCase(
                    "\"how\": \"inline\"",
                    "\"how\": \"never\"",
                    config -> config.decisionSettings().reportsInAnswers(),
                    false,
                    "field 'settings.report.how' has the unknown value 'never'; expected one of [inline, off, "
                            + "on_probe]: answers are taken to hold no reports"),
            testCase(
                    "\"report\": ",
                    "\"tale\": ",
                    config -> config.decisionSettings().reportFields(),
                    List.of(),
                    "field 'settings.report.how' is missing: answers are taken to hold no reports"),
            testCase(
                    "\"max_attempts\": 5",
                    "\"max_attempts\": 0",
                    config -> config.decisionSettings().limits().maxAttempts(),
                    0,
                    "field 'settings.bounds.max_attempts' is 0; expected 1 or more: every request is refused"),
            testCase(
                    "\"max_attempts\": 5",
                    "\"max_attempts\": 4294967296",
                    config -> config.decisionSettings().limits().maxAttempts(),
                    Integer.MAX_VALUE,
                    "field 'settings.bounds.max_attempts' is 4294967296; expected 2147483647 or less: read "
                            + "as 2147483647"),
            testCase(
                    "\"most_held\": 20000",
                    "\"most_held\": 0",
                    config -> config.decisionSettings().limits().maxQueued(),
                    0,
                    "field 'settings.bounds.most_held' is 0; expected 1 or more: every request is rejected"),
            testCase(
                    "\"cancel\": true",
                    "\"cancel\": null",
                    config -> config.decisionSettings().limits().cancel(),
                    false,
                    "field 'settings.bounds.cancel' is missing: read as not permitted"),
            testCase(
                    "\"max_retry_after_us\": 1000000",
                    "\"max_retry_after_us\": 1e15",
                    config -> config.decisionSettings().limits().maxRetryAfterUs(),
                    60_000_000L,
                    "field 'settings.bounds."
                            + "max_retry_after_us' is 1.0E15; expected 60000000 or less: read as 60000000, a longer "
                            + "Retry-After is not sent"),
            testCase(
                    "\"connect_timeout_us\": 250000",
                    "\"connect_timeout_us\": 0",
                    config -> config.connectTimeout().toMillis(),
                    1L,
                    "field 'settings.bounds.connect_timeout_us' is 0; expected 1000 or more: read as 1000"),
            testCase(
                    "\"connect_timeout_us\": 250000",
                    "\"connect_timeout_us\": null",
                    config -> config.connectTimeout().toMillis(),
                    250L,
                    "field 'settings.bounds.connect_timeout_us' is missing: read as 250000"),
            testCase(
                    "\"conn_idle_us\": 15000000",
                    "\"conn_idle_us\": 0",
                    config -> config.engineIdleTimeout().toMillis(),
                    1L,
                    "field 'settings.bounds.conn_idle_us' is 0; expected 1000 or more: read as 1000"),
        };
    }

    @DataProvider
    public Object[][] ruleSettings() {
        return new Object[][] {
            testCase(
                    "\"cold_from\": 0.3",
                    "\"cold_from\": 0",
                    config -> config.decisionSettings().rules().slowStartFrom(),
                    0.0,
                    "field 'settings.rules.cold_from' is 0; expected above 0: an engine starts with no capacity, which "
                            + "grows during its warm-up"),
            testCase(
                    "\"cold_from\": 0.3",
                    "\"cold_from\": 1.3",
                    config -> config.decisionSettings().rules().slowStartFrom(),
                    1.0,
                    "field 'settings.rules.cold_from' is 1.3; expected 1 or less: read as 1"),
            testCase(
                    "\"cold_us\": 15000000",
                    "\"cold_us\": -1",
                    config -> config.decisionSettings().rules().slowStartUs(),
                    0L,
                    "field 'settings.rules.cold_us' is -1; expected 0 or more: read as 0"),
            testCase(
                    "\"tip_multiple\": 4.0",
                    "\"tip_multiple\": 0",
                    config -> config.decisionSettings().rules().overloadMultiple(),
                    0.0,
                    "field 'settings.rules.tip_multiple' is 0; expected above 0: engines receive almost no "
                            + "requests until they are warm"),
            testCase(
                    "\"cold_from\": 0.3",
                    "\"cold_from\": 0.3, \"extra_share\": 0.1, \"budget_free\": 8",
                    config -> config.decisionSettings().rules().retryBudgetWindowUs(),
                    600_000_000L,
                    "field 'settings.rules.budget_span_us' is "
                            + "0 or missing beside a budget: further attempts are counted over all time"),
            testCase(
                    "\"cold_from\": 0.3",
                    "\"cold_from\": 0.3, \"budget_free\": 8, \"budget_span_us\": 2400000000",
                    config -> config.decisionSettings().rules().retryBudgetFloor(),
                    2.0,
                    null),
            testCase(
                    "\"size_cores\": [8]",
                    "\"size_cores\": [-8]",
                    config -> config.decisionSettings().kinds().get(0).cores(),
                    0.0,
                    "field 'settings.specifics.size_cores[0]' is -8; expected 0 or more: read as 0, as if it "
                            + "were missing"),
            testCase(
                    "\"size_cores\": [8]",
                    "\"size_cores\": [8.5]",
                    config -> config.decisionSettings().kinds().get(0).cores(),
                    8.5,
                    null),
            testCase(
                    "\"progress_us\": 500000",
                    "\"progress_us\": -1",
                    config -> config.decisionSettings().features().progressIntervalUs(),
                    0L,
                    "field 'settings.specifics.progress_us' is -1; expected 0 or more: read as 0"),
            testCase(
                    "\"probe\": 0.0081",
                    "\"probe\": -3",
                    config -> config.decisionSettings().costs().healthCheck(),
                    0.0,
                    "field 'settings.charges.probe' is -3; expected 0 or more: read as 0"),
            testCase(
                    "\"balancers\": 1",
                    "\"balancers\": 1, \"tenants\": [{\"fraction\": 0.7}, {\"fraction\": 0.7}]",
                    config -> config.decisionSettings().gateways(),
                    1,
                    "field 'settings.tenants' have fractions that add up to 1.4, not "
                            + "1: decisions treat all tenants alike"),
            testCase(
                    "\"balancers\": 1",
                    "\"balancers\": 1, \"tenants\": [{\"fraction\": 0.7}, {\"fraction\": 0.3}, 4]",
                    config -> config.decisionSettings().gateways(),
                    1,
                    null),
        };
    }

    /**
     * Reads the example with one replacement and checks a value and the warning.
     *
     * @param warning the expected warning; null if there must be none
     */
    private static void checkReadAs(
            String original, String replacement, Function<GatewayConfig, Object> read, Object expected, String warning)
            throws Exception {
        GatewayConfig config = read(original, replacement);
        assertEquals(read.apply(config), expected);
        if (warning == null) {
            assertEquals(config.warnings(), List.of());
        } else {
            assertTrue(config.warnings().contains(warning), config.warnings().toString());
        }
    }

    @Test(dataProvider = "deploymentSettings")
    public void correctsDeploymentSettingsWithWarning(
            String original, String replacement, Function<GatewayConfig, Object> read, Object expected, String warning)
            throws Exception {
        checkReadAs(original, replacement, read, expected, warning);
    }

    @Test(dataProvider = "classSettings")
    public void correctsClassSettingsWithWarning(
            String original, String replacement, Function<GatewayConfig, Object> read, Object expected, String warning)
            throws Exception {
        checkReadAs(original, replacement, read, expected, warning);
    }

    @Test(dataProvider = "reportAndLimitSettings")
    public void correctsReportAndLimitSettingsWithWarning(
            String original, String replacement, Function<GatewayConfig, Object> read, Object expected, String warning)
            throws Exception {
        checkReadAs(original, replacement, read, expected, warning);
    }

    @Test(dataProvider = "ruleSettings")
    public void correctsRuleSettingsWithWarning(
            String original, String replacement, Function<GatewayConfig, Object> read, Object expected, String warning)
            throws Exception {
        checkReadAs(original, replacement, read, expected, warning);
    }

    /** The log of a deployment with plausible settings contains no warnings. */
    @Test
    public void plausibleSettingsGiveNoWarning() throws Exception {
        assertEquals(read().warnings(), List.of());
    }
}
