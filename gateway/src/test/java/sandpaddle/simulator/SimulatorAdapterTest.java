package sandpaddle.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import sandpaddle.config.JsonObject;

/** Tests the simulator's protocol with single lines of input. */
class SimulatorAdapterTest {
    private static final String SYNC = "{\"sync\":{\"ts_us\":5000000,\"batch\":1}}\n";
    private static final String END = "{\"end\":{}}\n";
    private static final String CONFIGURE = """
            {"configure":{"who":"dispatcher-0","seed":4,"boot_info":{"balancers":2,"me":0,"zone":0,"unknown_key":[1],
            "discovery":"automatic","models":["m"],
            "classes":[{"aim_us":750000,"effect":"safe","hard_limit_us":4000000,"value":1.0,"late_worth":0.1}],
            "report":{"fields":["utilization"],"how":"inline"},
            "bounds":{"cancel":false,"may_probe":false,"peers":false,"retry_after":true,"second_copies":false,
            "max_attempts":3,"most_held":100,"max_retry_after_us":500000},
            "rules":{"answer_slack_us":20000,"drain_grace_us":500000,"cold_from":0.3,"cold_us":13000000,
            "tip_multiple":2.5,"fall_us":1500000},"specifics":{"class_threads":[1],"size_cores":[8]}}}}
            """.replace("\n", "") + "\n";
    private static final String POOL = "{\"pool\":{\"set_id\":3,\"entries\":[{\"node\":\"n\",\"az\":0,\"hw\":0,"
            + "\"pod\":0,\"availability\":\"on\",\"rating\":1,\"online_since_us\":null}]}}\n";
    private static final String LIST =
            "{\"endpoints\":{\"who\":\"dispatcher-0\",\"kind\":\"cached\"," + "\"generation\":1,\"set_id\":3}}\n";
    private static final String ORDER = "{\"order\":{\"who\":\"dispatcher-0\",\"msg_id\":\"q\",\"priority\":0,"
            + "\"key\":null,\"expires_in_us\":4000000,\"data_group\":2,\"retry\":false,\"write\":false}}\n";

    private static String run(String input) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String errorMessage(String input) {
        return assertThrows(SimulatorProtocolException.class, () -> run(input)).getMessage();
    }

    @Test
    void answersAnEmptyBatch() throws Exception {
        assertEquals("{\"ok\":{\"batch\":1}}", run(SYNC + END).strip());
    }

    @Test
    void sendsARequestToTheListedEngine() throws Exception {
        String out = run(SYNC + CONFIGURE + POOL + LIST + ORDER + END);
        assertTrue(out.contains("{\"transmit\":{\"who\":\"dispatcher-0\",\"msg_id\":\"q\",\"node\":\"n\","), out);
        assertTrue(out.strip().endsWith("{\"ok\":{\"batch\":1}}"), out);
    }

    /** An empty report must not be taken for the report of an idle engine. */
    @Test
    void anEmptyReportCountsAsNone() throws Exception {
        String end = "{\"report_back\":{\"who\":\"dispatcher-0\",\"msg_id\":\"q\",\"settled\":true,\"node\":\"n\","
                + "\"outcome\":\"Ok\",\"rtt_us\":5,\"copy\":0,\"load\":[]}}\n";
        assertEquals(
                null,
                JsonObject.parse("{\"load\":[]}".getBytes(StandardCharsets.UTF_8), "")
                        .loadReportOrNull());
        String out = run(SYNC + CONFIGURE.replace("[\"utilization\"]", "[]") + POOL + LIST + ORDER + end + END);
        assertTrue(out.strip().endsWith("{\"ok\":{\"batch\":1}}"), out);
    }

    @Test
    void errorsStateLineEventAndProblem() {
        assertTrue(errorMessage(SYNC + "{\"order\":\n").contains("malformed JSON"));
        assertEquals("line 2, event 'order': unknown instance 'dispatcher-0'", errorMessage(SYNC + ORDER));
        assertEquals("line 3, event 'endpoints': list 3 was not declared", errorMessage(SYNC + CONFIGURE + LIST));
        assertEquals("line 2, event 'novel': unknown event", errorMessage(SYNC + "{\"novel\":{\"who\":\"x\"}}\n"));
        assertEquals("line 1, event 'sync': field 'batch' is missing", errorMessage("{\"sync\":{\"ts_us\":1}}\n"));
        assertEquals(
                "line 1, event 'sync': field 'ts_us' has the wrong type",
                errorMessage("{\"sync\":{\"ts_us\":\"a\",\"batch\":1}}\n"));
        assertTrue(errorMessage(SYNC + CONFIGURE + POOL + LIST + ORDER.replace("\"priority\":0", "\"priority\":9"))
                .startsWith("line 5, event 'order': cannot be handled"));
        assertEquals(
                "line 2, event 'configure': field 'boot_info.classes[0].hard_limit_us' is not above 0",
                errorMessage(SYNC + CONFIGURE.replace("\"hard_limit_us\":4000000", "\"hard_limit_us\":0")));
    }
}
