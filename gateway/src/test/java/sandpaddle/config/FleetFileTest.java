package sandpaddle.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.time.LocalDateTime;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sandpaddle.fleet.FleetSettings;
import sandpaddle.fleet.OutageSettings;
import sandpaddle.fleet.limit.LimitScope;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.LimitUnit;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.outage.margin.MarginSettings;
import sandpaddle.fleet.outage.phase.PhaseSettings;
import sandpaddle.fleet.outage.schedule.Rule;

/** The section {@code fleet} of the operator's file. */
class FleetFileTest {
    private static final String VALID_FILE = """
            {"fleet": {"enabled": true, "cluster": "north", "listen": "10.0.0.4:7400", "directory": "/var/lib/sp",
            "founders": ["a", "b", "c"], "routes": {"b": "10.9.0.2:7401"},
            "links": {"silent_ms": 900, "clogged_ms": 1900, "connect_ms": 1100, "greet_ms": 1200,
              "back_off_least_ms": 50, "back_off_most_ms": 700},
            "rights": {"beat_ms": 150, "lease_ms": 4000, "engine_forget_ms": 2000, "outlive_ms": 10, "slack_ms": 20,
              "drift": 0.01, "floor_share": 0.1, "band": 0.2},
            "voters": {"count": 5, "replace_ms": 30000, "steady_ms": 3000, "settle_ms": 2000},
            "store": {"most_bytes": 2097152, "room_bytes": 4194304, "slow_fsync_ms": 40, "probe_ms": 200},
            "verdicts": {"enabled": false, "evidence_ms": 60, "lease_ms": 2000, "condemned_most": 0.2, "testers": 3},
            "outages": [{"name": "sunday", "hall": "east", "zone": "UTC", "start": "2026-11-01T02:30",
              "duration": "PT90M", "rrule": "FREQ=WEEKLY;BYDAY=SU", "exdates": ["2026-11-08T02:30"]}],
            "outage": {"margin_least_ms": 1000, "margin_most_ms": 2000, "margin_quantile": 0.5, "loss_held_ms": 100,
              "loss_unannounced_held_ms": 200, "return_held_ms": 300, "returning_ms": 400, "expect_ms": 5000,
              "fill_ms": 4000, "fill_work_ms_per_s": 7},
            "content": {"memory_bytes": 65536, "disk_bytes": 1, "segment_bytes": 4096, "entries": 9, "flush_ms": 8,
              "unheard_most_ms": 7, "wall_slack_ms": 6, "max_age_ms": {"lookup": 60000}},
            "agreed": {"version": 3, "members": [{"name": "a", "hall": "east", "address": "10.0.0.4:7400"}],
              "limits": [{"name": "all", "running": 40}, {"name": "each", "engine": "*", "connections": 4},
                {"name": "rate", "hall": "east", "class": "lookup", "tenant": "t", "per_s": 2.5, "burst": 5}]}}}""";

    private static FleetSettings read(String text) throws OperatorFile.InvalidFileException {
        return OperatorFile.parse(text.getBytes(StandardCharsets.UTF_8), new ValidationErrors("f"))
                .fleet()
                .orElseThrow();
    }

    @Test
    void readsEveryKey() throws Exception {
        FleetSettings settings = read(VALID_FILE);
        assertEquals(
                List.of(),
                new SchemaValidator()
                        .validate("f", VALID_FILE.getBytes(StandardCharsets.UTF_8))
                        .messages());
        assertTrue(settings.enabled());
        assertEquals("north", settings.cluster());
        assertEquals(new InetSocketAddress("10.0.0.4", 7400), settings.listen());
        assertEquals(Path.of("/var/lib/sp"), settings.directory());
        assertEquals(List.of("a", "b", "c"), settings.founders());
        assertEquals(Map.of("b", new LinkSettings.Address("10.9.0.2", 7401)), settings.routes());
        assertEquals(
                new LinkSettings.Times(900_000, 1_900_000, 1_100_000, 1_200_000, 50_000, 700_000), settings.links());
        assertEquals(
                List.of(150_000L, 4_000_000L, 2_000_000L, 10_000L, 20_000L),
                List.of(
                        settings.limits().heartbeatUs(),
                        settings.limits().leaseUs(),
                        settings.limits().engineForgetUs(),
                        settings.limits().nonIdempotentGraceUs(),
                        settings.limits().schedulingSlackUs()));
        assertEquals(
                List.of(0.01, 0.1, 0.2),
                List.of(
                        settings.limits().clockDrift(),
                        settings.limits().floorShare(),
                        settings.limits().rebalanceBand()));
        assertEquals(
                List.of(5L, 30_000_000L, 3_000_000L, 2_000_000L),
                List.of(
                        (long) settings.voters().voterCount(),
                        settings.voters().replaceAfterUs(),
                        settings.voters().minUptimeUs(),
                        settings.voters().minChangeIntervalUs()));
        assertEquals(
                List.of(2_097_152L, 4_194_304L, 40_000L, 200_000L),
                List.of(
                        settings.store().maxBytes(),
                        settings.store().minFreeBytes(),
                        settings.store().slowFsyncUs(),
                        settings.store().probeIntervalUs()));
        assertFalse(settings.verdictsOn());
        assertEquals(
                List.of(60_000L, 2_000_000L, 0.2, 3),
                List.<Object>of(
                        settings.verdicts().evidenceIntervalUs(),
                        settings.verdicts().evidenceLeaseUs(),
                        settings.verdicts().maxEjectedFraction(),
                        settings.verdicts().maxProbers()));
    }

    @Test
    void readsFleetConfigAndOutages() throws Exception {
        FleetSettings settings = read(VALID_FILE);
        assertEquals(3, settings.agreed().version());
        assertEquals(new Member("a", "east", "10.0.0.4", 7400), settings.self("a"));
        assertThrows(IllegalArgumentException.class, () -> settings.self("z"));
        assertEquals(
                List.of(
                        new LimitSpec("all", LimitScope.WHOLE_FLEET, LimitUnit.RUNNING, 40, 0),
                        new LimitSpec("each", new LimitScope(null, null, null, "*"), LimitUnit.CONNECTIONS, 4, 0),
                        new LimitSpec("rate", new LimitScope("east", "lookup", "t", null), LimitUnit.RATE, 2500, 5000)),
                settings.agreed().limits());
        OutageSettings outages = settings.outages();
        Rule rule = outages.schedule().rules().get(0);
        assertEquals(Duration.ofMinutes(90), rule.duration());
        assertEquals(Set.of(LocalDateTime.parse("2026-11-08T02:30")), rule.excludedStarts());
        assertEquals(
                new PhaseSettings(100_000, 200_000, 300_000, 400_000, 5000, 4000, PhaseSettings.DEFAULT.settleMs()),
                outages.phase());
        assertEquals(new MarginSettings(1000, 2000, 0.5), outages.margins());
        assertEquals(new OutageSettings.Content(65_536, 1, 4096, 9, 8000, 7, 6), outages.content());
        assertEquals(7000, outages.prefetchWorkUsPerS());
        assertEquals(Map.of("lookup", 60_000L), outages.maxAgeMs());
        assertTrue(outages.storesAnswers());
        assertFalse(read("{\"fleet\": {}}").enabled());
    }

    /** Each row: a part of the valid file, its invalid replacement, the path of the key, and the allowed values. */
    @ParameterizedTest
    @CsvSource(delimiter = '#', quoteCharacter = '~', textBlock = """
            "enabled": true # "enabled": 1 # enabled # true or false
            "cluster": "north" # "cluster": "no rth" # cluster # 1 to 64 letters, digits, dots, dashes or underscores
            "cluster": "north", # ~~ # cluster # a value, where 'fleet' is enabled
            "listen": "10.0.0.4:7400" # "listen": "10.0.0.256:7400" # listen # an address of the form 10.0.0.4:7400
            "listen": "10.0.0.4:7400" # "listen": "10.0.0.4:65536" # listen # an address of the form 10.0.0.4:7400
            "listen": "10.0.0.4:7400" # "listen": "localhost:1" # listen # an address of the form 10.0.0.4:7400
            "/var/lib/sp" # " " # directory # a directory's path
            ["a", "b", "c"] # ["a", "b"] # founders # one, three or five names
            ["a", "b", "c"] # ["a", "b", "b"] # founders # each name once
            ["a", "b", "c"] # ["a", "b", "c", "d", "e", "f"] # founders # a list of 5 at most
            ["a", "b", "c"] # ["a", 2, "c"] # founders[1] # 1 to 64 letters, digits, dots, dashes or underscores
            {"b": "10.9.0.2:7401"} # {"b": 7401} # routes.b # an address of the form 10.0.0.4:7400
            "silent_ms": 900 # "silent_ms": 99 # links.silent_ms # a whole number from 100 to 60000
            "back_off_most_ms": 700 # "back_off_most_ms": 49 # links.back_off_most_ms # at least 'back_off_least_ms'
            "lease_ms": 4000 # "lease_ms": 599 # rights.lease_ms # at least four times 'beat_ms'
            "drift": 0.01 # "drift": 0.11 # rights.drift # a number from 0.0 to 0.1
            "count": 5 # "count": 4 # voters.count # 3 or 5
            "room_bytes": 4194304 # "room_bytes": 4194303 # store.room_bytes # at least twice 'most_bytes'
            "testers": 3 # "testers": 17 # verdicts.testers # a whole number from 1 to 16
            "zone": "UTC" # "zone": "Middle/Earth" # outages[0].zone # a time zone as Europe/Berlin, UTC or +02:00
            "2026-11-01T02:30" # "01.11.2026" # outages[0].start # a local time as 2026-11-01T02:30
            "PT90M" # "90" # outages[0].duration # a length as PT1H30M, from one second to 7 days
            FREQ=WEEKLY # FREQ=SECONDLY # outages[0].rrule # FREQ of HOURLY, DAILY, WEEKLY, MONTHLY or YEARLY
            "2026-11-08T02:30" # "soon" # outages[0].exdates[0] # a local time as 2026-11-01T02:30
            "rrule" # "rule" # outages[0].rule # 'rrule', if that was meant
            "margin_most_ms": 2000 # "margin_most_ms": 999 # outage.margin_most_ms # at least 'margin_least_ms'
            "loss_unannounced_held_ms": 200 # "loss_unannounced_held_ms": 9 # outage.loss_unannounced_held_ms # at least
            "fill_ms": 4000 # "fill_ms": 5001 # outage.fill_ms # at most 'expect_ms'
            {"lookup": 60000} # {"lookup": 0} # content.max_age_ms.lookup # a whole number from 1 to 31536000000
            "version": 3 # "version": 0 # agreed.version # a whole number from 1 to 9007199254740992
            "hall": "east", "address" # "address" # agreed.members[0].hall # a value
            "running": 40} # "running": 40}, {"name": "all", "running": 1} # agreed.limits[1].name # a name, each once
            "running": 40 # "burst": 2 # agreed.limits[0].running # one of 'running', 'connections' and 'per_s'
            "running": 40 # "running": 4, "per_s": 1 # agreed.limits[0].per_s # one of 'running', 'connections'
            "running": 40 # "running": 4, "burst": 2 # agreed.limits[0].burst # only beside 'per_s'
            "name": "all" # "name": "a|l" # agreed.limits[0].name # a name of 128 bytes at most, without '|'
            "name": "a", "hall" # "name": "a b", "hall" # agreed.members[0].name # 1 to 64 letters, digits
            "agreed": { # "agreed": 7, "x": { # agreed # an object""")
    void errorNamesItsKeyAndTheAllowedValues(String part, String replacement, String path, String allowed) {
        assertTrue(VALID_FILE.contains(part), part);
        String text = VALID_FILE.replaceFirst(
                java.util.regex.Pattern.quote(part), java.util.regex.Matcher.quoteReplacement(replacement));
        ValidationErrors errors = new ValidationErrors("f");
        assertThrows(
                OperatorFile.InvalidFileException.class,
                () -> OperatorFile.parse(text.getBytes(StandardCharsets.UTF_8), errors));
        assertTrue(
                errors.sorted().stream()
                        .anyMatch(error -> error.path().equals("fleet." + path)
                                && error.allowed().startsWith(allowed)),
                errors.messages().toString());
        assertTrue(errors.sorted().size() <= 2, errors.messages().toString());
    }
}
