package sandpaddle.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sandpaddle.decision.Micros;
import sandpaddle.fleet.FleetSettings;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.member.MemberName;
import sandpaddle.fleet.member.VoterPlan;
import sandpaddle.fleet.store.StoreSettings;
import sandpaddle.fleet.verdict.VerdictSettings;

/**
 * Maps the section {@code fleet} of the operator's file, which configures this gateway's own part in the fleet. {@link
 * FleetConfigReader} maps the section {@code agreed} within it, {@link OutageSettingsReader} the sections on outages.
 */
final class FleetSettingsReader {
    static final String ALLOWED_NAME = "1 to 64 letters, digits, dots, dashes or underscores";
    static final String ALLOWED_ADDRESS = "an address of the form 10.0.0.4:7400";
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final Duration MILLISECOND = Duration.ofMillis(1);
    private static final Pattern ADDRESS_PATTERN =
            Pattern.compile("(\\d{1,3}\\.\\d{1,3}\\.\\d{1,3}\\.\\d{1,3}):(\\d{1,5})");
    private static final int MAX_FOUNDERS = 5;

    private FleetSettingsReader() {}

    static FleetSettings read(SectionReader section) {
        String cluster = section.string("cluster", "", MemberName::isValid, ALLOWED_NAME);
        String listen = section.string("listen", "", FleetSettingsReader::isAddress, ALLOWED_ADDRESS);
        String directory = section.string("directory", "", path -> !path.isBlank(), "a directory's path");
        List<String> founders = section.strings("founders", MAX_FOUNDERS, MemberName::isValid, ALLOWED_NAME);
        if (founders.size() % 2 == 0 && !founders.isEmpty()) {
            section.addError("founders", "one, three or five names");
        } else if (Set.copyOf(founders).size() < founders.size()) {
            section.addError("founders", "each name once");
        }
        // One reader for both parts, since each reader rejects the keys that were not requested from it.
        SectionReader verdicts = section.section("verdicts");
        FleetSettings settings = new FleetSettings(
                section.flag("enabled", false),
                cluster,
                listen.isEmpty() ? null : address(listen),
                directory.isEmpty() ? null : Path.of(directory),
                founders,
                routes(section.section("routes")),
                links(section.section("links")),
                limitSettings(section.section("rights")),
                voters(section.section("voters")),
                store(section.section("store")),
                verdictsEnabled(verdicts),
                verdicts(verdicts),
                FleetConfigReader.read(section.section("agreed")),
                OutageSettingsReader.read(section));
        if (settings.enabled()) {
            for (String requiredKey : List.of("cluster", "listen", "founders", "agreed")) {
                if (!section.has(requiredKey)) {
                    section.addError(requiredKey, "a value, where 'fleet' is enabled");
                }
            }
        }
        return settings;
    }

    static boolean isAddress(String text) {
        Matcher matcher = ADDRESS_PATTERN.matcher(text);
        return matcher.matches()
                && Integer.parseInt(matcher.group(2)) <= 65_535
                && Pattern.compile("\\.")
                        .splitAsStream(matcher.group(1))
                        .allMatch(octet -> Integer.parseInt(octet) < 256);
    }

    private static InetSocketAddress address(String text) {
        int colon = text.indexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static Map<String, LinkSettings.Address> routes(SectionReader section) {
        Map<String, LinkSettings.Address> routes = new HashMap<>();
        Predicate<String> isValid = FleetSettingsReader::isAddress;
        for (String name : section.keys()) {
            String address = section.string(name, "", isValid, ALLOWED_ADDRESS);
            if (!address.isEmpty()) {
                routes.put(
                        name,
                        new LinkSettings.Address(
                                address(address).getHostString(),
                                address(address).getPort()));
            }
        }
        return routes;
    }

    private static long durationUs(SectionReader section, String key, long defaultUs, Duration min, Duration max) {
        return Micros.of(section.durationMs(key, Micros.span(defaultUs), min, max));
    }

    private static LinkSettings.Times links(SectionReader section) {
        LinkSettings.Times defaults = LinkSettings.Times.DEFAULT;
        long minBackoffUs = durationUs(section, "back_off_least_ms", defaults.minBackoffUs(), MILLISECOND, MINUTE);
        long maxBackoffUs = durationUs(section, "back_off_most_ms", defaults.maxBackoffUs(), MILLISECOND, MINUTE);
        if (maxBackoffUs < minBackoffUs) {
            section.addError("back_off_most_ms", "at least 'back_off_least_ms'");
            maxBackoffUs = minBackoffUs;
        }
        return new LinkSettings.Times(
                durationUs(section, "silent_ms", defaults.livenessTimeoutUs(), Duration.ofMillis(100), MINUTE),
                durationUs(section, "clogged_ms", defaults.sendStallTimeoutUs(), Duration.ofMillis(100), MINUTE),
                durationUs(section, "connect_ms", defaults.connectTimeoutUs(), Duration.ofMillis(100), MINUTE),
                durationUs(section, "greet_ms", defaults.handshakeTimeoutUs(), Duration.ofMillis(100), MINUTE),
                minBackoffUs,
                maxBackoffUs);
    }

    private static LimitSettings limitSettings(SectionReader section) {
        LimitSettings defaults = LimitSettings.DEFAULTS;
        long heartbeatUs =
                durationUs(section, "beat_ms", defaults.heartbeatUs(), Duration.ofMillis(20), Duration.ofSeconds(10));
        long leaseUs = durationUs(section, "lease_ms", defaults.leaseUs(), Duration.ofMillis(200), MINUTE);
        if (leaseUs < 4 * heartbeatUs) {
            section.addError("lease_ms", "at least four times 'beat_ms', or one lost beat ends it");
            leaseUs = 4 * heartbeatUs;
        }
        return new LimitSettings(
                heartbeatUs,
                leaseUs,
                durationUs(section, "engine_forget_ms", defaults.engineForgetUs(), Duration.ZERO, MINUTE),
                durationUs(
                        section, "outlive_ms", defaults.nonIdempotentGraceUs(), Duration.ZERO, MINUTE.multipliedBy(10)),
                durationUs(section, "slack_ms", defaults.schedulingSlackUs(), Duration.ZERO, Duration.ofSeconds(10)),
                defaults.resendIntervalUs(),
                defaults.floorMaxAgeUs(),
                section.number("drift", defaults.clockDrift(), 0, 0.1),
                section.number("floor_share", defaults.floorShare(), 0, 0.5),
                section.number("band", defaults.rebalanceBand(), 0, 0.5),
                defaults.guards());
    }

    private static VoterPlan.Settings voters(SectionReader section) {
        VoterPlan.Settings defaults = FleetSettings.OFF.voters();
        int count = (int) section.integer("count", defaults.voterCount(), 3, 5);
        if (count == 4) {
            section.addError("count", "3 or 5");
            count = defaults.voterCount();
        }
        return new VoterPlan.Settings(
                count,
                durationUs(section, "replace_ms", defaults.replaceAfterUs(), Duration.ofSeconds(1), Duration.ofDays(1)),
                durationUs(section, "steady_ms", defaults.minUptimeUs(), Duration.ZERO, Duration.ofHours(1)),
                durationUs(section, "settle_ms", defaults.minChangeIntervalUs(), Duration.ZERO, Duration.ofHours(1)));
    }

    private static StoreSettings store(SectionReader section) {
        StoreSettings defaults = StoreSettings.DEFAULTS;
        long maxBytes = section.integer("most_bytes", defaults.maxBytes(), 1 << 20, 256L << 20);
        long minFreeBytes = section.integer("room_bytes", Math.max(defaults.minFreeBytes(), 2 * maxBytes), 0, 1L << 53);
        if (minFreeBytes < 2 * maxBytes) {
            section.addError("room_bytes", "at least twice 'most_bytes', since an opening writes the content anew");
            minFreeBytes = 2 * maxBytes;
        }
        return new StoreSettings(
                maxBytes,
                minFreeBytes,
                durationUs(section, "slow_fsync_ms", defaults.slowFsyncUs(), MILLISECOND, MINUTE),
                durationUs(section, "probe_ms", defaults.probeIntervalUs(), Duration.ofMillis(100), MINUTE));
    }

    private static boolean verdictsEnabled(SectionReader section) {
        return section.flag("enabled", true);
    }

    private static VerdictSettings verdicts(SectionReader section) {
        VerdictSettings defaults = VerdictSettings.DEFAULT;
        return new VerdictSettings(
                durationUs(
                        section,
                        "evidence_ms",
                        defaults.evidenceIntervalUs(),
                        Duration.ofMillis(10),
                        Duration.ofSeconds(1)),
                durationUs(section, "lease_ms", defaults.evidenceLeaseUs(), Duration.ofMillis(500), MINUTE),
                section.number("condemned_most", defaults.maxEjectedFraction(), 0, 0.9),
                defaults.minOutcomes(),
                defaults.flapHoldUs(),
                defaults.flapWindowUs(),
                defaults.announceDurationUs(),
                defaults.drainGraceUs(),
                (int) section.integer("testers", defaults.maxProbers(), 1, 16),
                defaults.maxEngines(),
                defaults.maxMembers(),
                defaults.maxSubjectsPerReporter());
    }
}
