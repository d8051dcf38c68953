package sandpaddle.fleet.verdict;

import java.util.ArrayList;
import java.util.List;

/**
 * Settings of the fleet's verdicts; times in microseconds. The configuration reader maps the keys of the operator's
 * file to these names.
 *
 * @param evidenceIntervalUs interval at which a gateway sends, and a voter relays, evidence
 * @param evidenceLeaseUs age at which evidence expires, and with it each verdict that depends on it
 * @param maxEjectedFraction maximum fraction of the engines that verdicts may eject at a time, 0 to 1
 * @param minOutcomes minimum number of outcomes, over all reporters, for a new verdict on an engine
 * @param flapHoldUs time by which the second verdict on an engine within {@code flapWindowUs} outlives its evidence;
 *     doubles with each further verdict
 * @param flapWindowUs time after which an earlier verdict on the engine no longer counts as flapping
 * @param announceDurationUs time for which a start or drain seen in the engine list is repeated to the fleet
 * @param drainGraceUs maximum duration of a draining verdict after its first report
 * @param maxProbers number of gateways that continue to probe an ejected engine
 * @param maxEngines maximum number of engines observed, the first ones of the list
 * @param maxMembers maximum number of gateways in the fleet
 * @param maxSubjectsPerReporter maximum number of subjects for which evidence of one gateway is stored
 */
public record VerdictSettings(
        long evidenceIntervalUs,
        long evidenceLeaseUs,
        double maxEjectedFraction,
        int minOutcomes,
        long flapHoldUs,
        long flapWindowUs,
        long announceDurationUs,
        long drainGraceUs,
        int maxProbers,
        int maxEngines,
        int maxMembers,
        int maxSubjectsPerReporter) {

    private static final int MICROS_PER_MS = 1000;

    /** The default settings. */
    public static final VerdictSettings DEFAULT = new VerdictSettings(
            50_000, 3_000_000, 0.3, 3, 250_000, 30_000_000, 10_000_000, 30_000_000, 2, 512, 128, 1024);

    /** Returns one message for each invalid value, with its key; empty if all values are valid. */
    public List<String> validationErrors() {
        List<String> errors = new ArrayList<>();
        checkRange(errors, "evidence_ms", evidenceIntervalUs / MICROS_PER_MS, 10, 1000);
        checkRange(
                errors,
                "verdict_lease_ms",
                evidenceLeaseUs / MICROS_PER_MS,
                10 * evidenceIntervalUs / MICROS_PER_MS,
                60_000);
        if (!(maxEjectedFraction >= 0 && maxEjectedFraction <= 1)) {
            errors.add("condemned_share is " + maxEjectedFraction + "; expected 0 to 1");
        }
        checkRange(errors, "verdict_outcomes", minOutcomes, 1, 50);
        checkRange(errors, "verdict_hold_ms", flapHoldUs / MICROS_PER_MS, 0, 60_000);
        checkRange(errors, "verdict_flap_ms", flapWindowUs / MICROS_PER_MS, 0, 3_600_000);
        checkRange(errors, "list_announce_ms", announceDurationUs / MICROS_PER_MS, 0, 600_000);
        checkRange(errors, "drain_grace_ms", drainGraceUs / MICROS_PER_MS, 0, 3_600_000);
        checkRange(errors, "verdict_testers", maxProbers, 1, 10);
        return errors;
    }

    private static void checkRange(List<String> errors, String key, long value, long min, long max) {
        if (value < min || value > max) {
            errors.add(key + " is " + value + "; expected " + min + " to " + max);
        }
    }

    /**
     * Returns the interval at which a prober probes an ejected engine: shorter than the lease by the time that the
     * result needs to reach all gateways.
     */
    public long probeIntervalUs() {
        return evidenceLeaseUs / 5 * 4;
    }

    /** Returns the interval at which continuing evidence is renewed: two renewals may be lost within a lease. */
    public long renewIntervalUs() {
        return evidenceLeaseUs / 3;
    }
}
