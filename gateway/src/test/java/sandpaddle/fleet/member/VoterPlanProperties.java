package sandpaddle.fleet.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.member.VoterPlan.Change;
import sandpaddle.fleet.member.VoterPlan.ClusterState;
import sandpaddle.fleet.member.VoterPlan.LastContact;

class VoterPlanProperties {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 1000 * SECOND;
    private static final VoterPlan.Settings FIVE = new VoterPlan.Settings(5, 20 * SECOND, 5 * SECOND, 10 * SECOND);
    private static final VoterPlan.Settings THREE = new VoterPlan.Settings(3, 20 * SECOND, 5 * SECOND, 10 * SECOND);

    private static Member member(String name) {
        return new Member(name, "zone-" + name.charAt(0), "10.0.0.1", 7000);
    }

    private static Roster roster(String... names) {
        return Roster.of(
                List.of(names).stream().map(VoterPlanProperties::member).toList());
    }

    /**
     * All members were seen just now, except those in {@code lost}, which were last seen before the time to replace.
     */
    private static ClusterState clusterState(Roster roster, List<String> voters, List<String> lost) {
        Map<String, LastContact> lastContacts = new HashMap<>();
        roster.names()
                .forEach(n -> lastContacts.put(n, new LastContact(lost.contains(n) ? NOW - 30 * SECOND : NOW, 0)));
        return new ClusterState(roster, voters, voters.get(0), lastContacts, 0, 0);
    }

    private static Change change(String add, String remove) {
        return new Change(Optional.ofNullable(add), Optional.ofNullable(remove));
    }

    private static Optional<Change> nextChangeOfThree(List<String> voters, List<String> lost, String... names) {
        return new VoterPlan(THREE).nextChange(clusterState(roster(names), voters, lost), NOW);
    }

    @Test
    void lostVoterIsReplacedByAMemberOfTheZoneWithTheFewestVoters() {
        assertEquals(
                Optional.of(change("c2", "c1")),
                nextChangeOfThree(List.of("a1", "b1", "c1"), List.of("c1"), "a1", "a2", "b1", "b2", "c1", "c2"));
        assertEquals(
                Optional.of(change("a2", "c1")),
                nextChangeOfThree(List.of("a1", "b1", "c1"), List.of("c1"), "a1", "a2", "b1", "b2", "c1"));
    }

    @Test
    void liveVotersMoveOnlyToEvenOutZones() {
        assertEquals(
                Optional.empty(),
                nextChangeOfThree(List.of("a1", "a2", "b1"), List.of(), "a1", "a2", "b1", "b2"),
                "one voter more in a zone is not enough to move one");
        assertEquals(
                Optional.of(change("c1", "a2")),
                nextChangeOfThree(List.of("a1", "a2", "b1"), List.of(), "a1", "a2", "b1", "b2", "c1"),
                "two voters more than in another zone are");
        assertEquals(
                Optional.of(change("b1", "a3")),
                nextChangeOfThree(List.of("a1", "a2", "a3"), List.of(), "a1", "a2", "a3", "b1"),
                "three voters more are, and the leader stays");
    }

    @Test
    void noChangeWithoutALiveMajority() {
        assertEquals(
                Optional.empty(),
                nextChangeOfThree(List.of("a1", "b1", "c1"), List.of("b1", "c1"), "a1", "a2", "b1", "b2", "c1", "c2"));
    }

    /** A new leader has no contacts yet; counting the time before its election would make all others seem lost. */
    @Test
    void newLeaderIgnoresSilenceFromBeforeItsElection() {
        ClusterState state = clusterState(roster("a1", "b1", "c1", "c2"), List.of("a1", "b1", "c1"), List.of("c1"));
        ClusterState afterElection = new ClusterState(
                state.roster(), state.voters(), state.leader(), state.lastContacts(), NOW - 6 * SECOND, 0);
        assertEquals(Optional.empty(), new VoterPlan(THREE).nextChange(afterElection, NOW));
        assertTrue(new VoterPlan(THREE).nextChange(state, NOW).isPresent());
    }

    /** Guards against flapping: no change shortly after another, and no voter that came up only recently. */
    @Test
    void changesAreSpacedAndNewVotersStable() {
        ClusterState state = clusterState(roster("a1", "b1", "c1", "c2"), List.of("a1", "b1", "c1"), List.of("c1"));
        assertEquals(
                Optional.empty(),
                new VoterPlan(THREE)
                        .nextChange(
                                new ClusterState(
                                        state.roster(),
                                        state.voters(),
                                        state.leader(),
                                        state.lastContacts(),
                                        0,
                                        NOW - 9 * SECOND),
                                NOW));
        Map<String, LastContact> withRecentMember = new HashMap<>(state.lastContacts());
        withRecentMember.put("c2", new LastContact(NOW, NOW - 4 * SECOND));
        assertEquals(
                Optional.empty(),
                new VoterPlan(THREE)
                        .nextChange(
                                new ClusterState(
                                        state.roster(), state.voters(), state.leader(), withRecentMember, 0, 0),
                                NOW));
    }

    @Test
    void oneLostVoterOfFiveWithoutAReplacementStaysAndTwoReduceTheGroup() {
        Roster roster = roster("a1", "a2", "b1", "b2", "c1");
        List<String> all = List.copyOf(roster.names());
        assertEquals(Optional.empty(), new VoterPlan(FIVE).nextChange(clusterState(roster, all, List.of("c1")), NOW));
        assertEquals(
                Optional.of(change(null, "b2")),
                new VoterPlan(FIVE).nextChange(clusterState(roster, all, List.of("b2", "c1")), NOW));
    }

    @Test
    void removedMembersStopVoting() {
        assertEquals(
                Optional.of(change("b2", "b1")),
                nextChangeOfThree(List.of("a1", "b1", "c1"), List.of(), "a1", "c1", "b2"));
    }

    @Property(seed = "52", tries = 200)
    void initialVotersAreOddAndEvenlySpread(
            @ForAll @Size(min = 1, max = 5) List<@IntRange(min = 1, max = 5) Integer> zones, @ForAll boolean five) {
        List<String> names = new ArrayList<>();
        for (int h = 0; h < zones.size(); h++) {
            for (int m = 0; m < zones.get(h); m++) {
                names.add((char) ('a' + h) + "" + m);
            }
        }
        int max = five ? 5 : 3;
        List<String> first = VoterPlan.initialVoters(roster(names.toArray(String[]::new)), max);
        assertEquals(Math.min(max, names.size() - 1 + names.size() % 2), first.size());
        assertEquals(first.size(), new TreeSet<>(first).size());
        Map<Character, Integer> perZone = new HashMap<>();
        first.forEach(voter -> perZone.merge(voter.charAt(0), 1, Integer::sum));
        assertEquals(
                first.isEmpty() ? 0 : minPeak(zones, first.size()),
                perZone.values().stream().mapToInt(n -> n).max().orElse(0));
    }

    /** The largest number of voters in a zone at the most even spread, given the number of members of each zone. */
    private static int minPeak(List<Integer> zones, int voters) {
        for (int peak = 1; ; peak++) {
            int max = peak;
            if (zones.stream().mapToInt(n -> Math.min(n, max)).sum() >= voters) {
                return peak;
            }
        }
    }

    /** From any voters, with some lost, the plan converges in safe single steps: odd, live and evenly spread. */
    @Property(seed = "51", tries = 400)
    void planConvergesToAnOddAndEvenlySpreadSetOfLiveVoters(@ForAll @IntRange(max = 1_000_000) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        VoterPlan.Settings settings = random.nextBoolean() ? FIVE : THREE;
        List<String> names = new ArrayList<>();
        for (int h = 0; h <= random.nextInt(4); h++) {
            for (int m = 0; m <= random.nextInt(4); m++) {
                names.add((char) ('a' + h) + "" + m);
            }
        }
        Roster roster = roster(names.toArray(String[]::new));
        List<String> voters = new ArrayList<>();
        while (voters.size() < Math.min(names.size(), 1 + 2 * random.nextInt(3))) {
            String voter = names.get(random.nextInt(names.size()));
            if (!voters.contains(voter)) {
                voters.add(voter);
            }
        }
        List<String> lost = new ArrayList<>();
        for (String n : names) {
            if (!n.equals(voters.get(0)) && random.nextInt(4) == 0) {
                lost.add(n);
            }
        }
        long liveVoters = voters.stream().filter(voter -> !lost.contains(voter)).count();
        boolean hasLiveMajority = liveVoters > voters.size() / 2;
        int steps = 0;
        VoterPlan plan = new VoterPlan(settings);
        for (Optional<Change> c = plan.nextChange(clusterState(roster, voters, lost), NOW);
                c.isPresent();
                c = plan.nextChange(clusterState(roster, voters, lost), NOW)) {
            assertTrue(hasLiveMajority, "a change without a live majority");
            assertTrue(++steps <= 12, "does not converge: " + voters);
            voters = c.get().applyTo(voters);
            List<String> after = voters;
            assertEquals(new TreeSet<>(after).size(), after.size(), "a voter is listed twice");
            assertTrue(
                    after.stream().filter(voter -> !lost.contains(voter)).count() > after.size() / 2, "majority lost");
        }
        if (hasLiveMajority) {
            checkFinalVoters(names, lost, voters, settings);
        }
    }

    private static void checkFinalVoters(
            List<String> names, List<String> lost, List<String> voters, VoterPlan.Settings settings) {
        List<String> live = names.stream().filter(n -> !lost.contains(n)).toList();
        assertEquals(1, voters.size() % 2, "odd: " + voters + " of " + names + " lost " + lost);
        long lostVoters = voters.stream().filter(lost::contains).count();
        int odd = live.size() % 2 == 0 ? live.size() - 1 : live.size();
        if (live.size() >= settings.voterCount()) {
            assertEquals(settings.voterCount(), voters.size());
            assertEquals(0, lostVoters, "a lost voter stays though a live one could vote");
        } else {
            assertTrue(voters.size() >= Math.min(odd, settings.voterCount()), voters + " of live " + live);
        }
        if (lostVoters == 0) {
            List<Integer> zones = new ArrayList<>();
            Map<Character, Integer> perZone = new HashMap<>();
            live.forEach(n -> perZone.merge(n.charAt(0), 1, Integer::sum));
            zones.addAll(perZone.values());
            Map<Character, Integer> peaks = new HashMap<>();
            voters.forEach(voter -> peaks.merge(voter.charAt(0), 1, Integer::sum));
            int peak = peaks.values().stream().mapToInt(n -> n).max().orElseThrow();
            assertTrue(peak <= minPeak(zones, voters.size()) + 1, "uneven: " + voters + " of live " + live);
            if (peak > minPeak(zones, voters.size())) {
                assertFalse(
                        peaks.values().stream().anyMatch(n -> n < peak - 1) && uneven(peaks, perZone, peak),
                        "a zone has two voters less than another and a live member that does not vote: " + voters);
            }
        }
    }

    private static boolean uneven(Map<Character, Integer> voters, Map<Character, Integer> live, int peak) {
        return live.entrySet().stream()
                .anyMatch(e -> voters.getOrDefault(e.getKey(), 0) < Math.min(peak - 1, e.getValue()));
    }
}
