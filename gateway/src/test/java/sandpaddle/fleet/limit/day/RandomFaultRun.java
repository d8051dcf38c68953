package sandpaddle.fleet.limit.day;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.allocator.TargetPolicy;
import sandpaddle.fleet.limit.bound.LimitBounds;
import sandpaddle.fleet.limit.table.LimitCommand;

/** Runs a simulated fleet with random faults, and records by how much the limit was exceeded at the engines. */
final class RandomFaultRun {
    static final double DRIFT = 0.02;

    /** An amount of the limit before a change; the limit may still be used up to it until {@code untilUs}. */
    private record FormerAmount(long untilUs, long amount) {}

    private final SimulatedFleet fleet;
    private final Random random;
    private final List<FormerAmount> formerAmounts = new ArrayList<>(); // former amounts that may still be in use
    private final long reductionDelayUs; // until a reduced amount must be enforced
    private long amount;
    long maxExcess; // max number of attempts at the engines above the limit
    long startedAttempts;
    long maxExcessAtUs;

    RandomFaultRun(long seed, int gateways, LimitSettings settings) {
        random = new Random(~seed);
        amount = gateways + random.nextInt(2 * gateways);
        fleet = new SimulatedFleet(seed, gateways, amount, settings, DRIFT, TargetPolicy.NONE);
        fleet.gateways.forEach(gateway -> gateway.maxDurationUs = 2_500_000);
        // 12 s more than the bound for partitioned gateways, for resends to connected ones and attempts that run to
        // their end
        reductionDelayUs = new LimitBounds(settings, 2_000_000).lowerDelayPartitionedUs() + 12_000_000;
    }

    /** Runs until {@code durationUs}, with up to two random faults after every five steps. */
    RandomFaultRun run(long durationUs) {
        while (fleet.nowUs < durationUs) {
            for (int i = 0; i < 5; i++) {
                fleet.step();
                recordExcess();
            }
            for (int faults = random.nextInt(3); faults > 0; faults--) {
                injectFault();
            }
        }
        startedAttempts = fleet.gateways.stream()
                .mapToLong(gateway -> gateway.startedAttempts)
                .sum();
        return this;
    }

    private void recordExcess() {
        formerAmounts.removeIf(former -> former.untilUs < fleet.nowUs);
        long allowed = Math.max(
                amount,
                formerAmounts.stream().mapToLong(FormerAmount::amount).max().orElse(0));
        long excess = fleet.engines.running(SimulatedFleet.LIMIT) - allowed;
        if (excess > maxExcess) {
            maxExcess = excess;
            maxExcessAtUs = fleet.nowUs;
        }
    }

    private void injectFault() {
        int index = random.nextInt(fleet.gateways.size());
        SimulatedGateway gateway = fleet.gateways.get(index);
        int voter = random.nextInt(3);
        switch (random.nextInt(15)) {
            case 0 -> fleet.maxDelayUs = random.nextInt(3) == 0 ? 2_000_000 : 20_000 + random.nextInt(200_000);
            case 1 -> fleet.lossRate = random.nextInt(3) == 0 ? 0.4 : random.nextInt(2) * 0.05;
            case 2 -> fleet.duplicateRate = random.nextInt(3) * 0.2;
            case 3 -> {
                fleet.brokenLinks.add(List.of(voter, index, random.nextInt(2)));
                fleet.brokenLinks.add(List.of(random.nextInt(3), index, random.nextInt(2)));
            }
            case 4 -> {
                for (int anyVoter = 0; anyVoter < 3; anyVoter++) {
                    fleet.brokenLinks.add(List.of(anyVoter, index, 0));
                    fleet.brokenLinks.add(List.of(anyVoter, index, 1));
                }
            }
            case 5, 6 -> heal(index);
            case 7 -> gateway.crash();
            case 8 -> gateway.paused = gateway.holder != null;
            case 9, 10 -> {
                gateway.paused = false;
                if (gateway.holder == null) {
                    gateway.start(fleet.nowUs);
                }
            }
            case 11 -> fleet.voters.elect(voter);
            case 12 -> {
                long next = 1 + random.nextInt(3 * fleet.gateways.size());
                if (fleet.setLimit(next)) {
                    formerAmounts.add(new FormerAmount(fleet.nowUs + reductionDelayUs, amount));
                    amount = next;
                }
            }
            case 13 -> fleet.gateways.forEach(each -> each.demand = 1 + random.nextInt(12));
            default -> {
                if (gateway.holder == null) { // the machine is lost; another one may join under the same name
                    gateway.loseMachine();
                    fleet.voters.commit(new LimitCommand.Leave(gateway.name));
                } else {
                    fleet.voters.commit(new LimitCommand.Join(gateway.name, "h0"));
                }
            }
        }
    }

    private void heal(int gateway) {
        for (Iterator<List<Integer>> i = fleet.brokenLinks.iterator(); i.hasNext(); ) {
            if (i.next().get(1) == gateway) {
                i.remove();
            }
        }
    }
}
