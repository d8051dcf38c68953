package sandpaddle.lab.scale;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Measures lease losses, and the time from a fault until each gateway holds a lease again. */
final class LeaseTimeline {
    private final Map<String, Long> crashedAtUs = new LinkedHashMap<>();
    private final List<Long> restartDurationsMs = new ArrayList<>();
    private final Map<String, Long> firstRenewalAfterKill = new LinkedHashMap<>();
    private final Map<String, Long> firstRenewalAfterReconnect = new LinkedHashMap<>();
    private final Set<String> gatewaysThatLostLease = new HashSet<>();
    private long leaderKilledAtUs = -1;
    private long zoneReconnectedAtUs = -1;
    private boolean allLeased;

    /** Marks the moment at which every gateway holds a lease; losses are counted from here on. */
    void allGatewaysLeased() {
        allLeased = true;
    }

    void leaderKilled(long us) {
        leaderKilledAtUs = us;
    }

    void zoneReconnected(long us) {
        zoneReconnectedAtUs = us;
    }

    void crashed(String gateway, long us) {
        crashedAtUs.put(gateway, us);
    }

    /**
     * Records that a gateway got a lease, or had it renewed after an interruption that does not occur without a fault.
     */
    void renewed(String gateway, long us) {
        if (crashedAtUs.containsKey(gateway)) {
            restartDurationsMs.add((us - crashedAtUs.remove(gateway)) / 1000);
        }
        if (leaderKilledAtUs >= 0) {
            firstRenewalAfterKill.putIfAbsent(gateway, us);
        }
        if (zoneReconnectedAtUs >= 0) {
            firstRenewalAfterReconnect.putIfAbsent(gateway, us);
        }
    }

    void leaseExpired(String gateway) {
        if (allLeased) {
            gatewaysThatLostLease.add(gateway);
        }
    }

    /** Milliseconds from the crash of each restarted gateway until it held a lease. */
    List<Long> restartDurationsMs() {
        return restartDurationsMs;
    }

    /** The number of gateways that crashed and did not get a lease again. */
    long notRestarted() {
        return crashedAtUs.size();
    }

    /** Milliseconds from the kill of the leader until each of these gateways had a lease from the next leader. */
    List<Long> newLeaderDurationsMs(List<String> gateways) {
        return durationsMs(leaderKilledAtUs, firstRenewalAfterKill, gateways);
    }

    /** Milliseconds from the end of a partition until each of these gateways had a lease again. */
    List<Long> reconnectDurationsMs(List<String> gateways) {
        return durationsMs(zoneReconnectedAtUs, firstRenewalAfterReconnect, gateways);
    }

    private static List<Long> durationsMs(long fromUs, Map<String, Long> renewals, List<String> gateways) {
        return fromUs < 0
                ? List.of()
                : gateways.stream()
                        .filter(renewals::containsKey)
                        .map(gateway -> (renewals.get(gateway) - fromUs) / 1000)
                        .toList();
    }

    /** The number of gateways accepted by the filter that lost a lease during the run. */
    long lostLeases(Predicate<String> filter) {
        return gatewaysThatLostLease.stream().filter(filter).count();
    }
}
