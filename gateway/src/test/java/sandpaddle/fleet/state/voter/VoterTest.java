package sandpaddle.fleet.state.voter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import sandpaddle.fleet.state.Consensus.ProposalOutcome;
import sandpaddle.fleet.state.raft.VoterEndpoint;
import sandpaddle.fleet.state.sim.SimDisk;
import sandpaddle.fleet.state.sim.SimFleet;
import sandpaddle.fleet.state.sim.SimFleet.Gateway;
import sandpaddle.fleet.state.voter.Voter.VoterPhase;

class VoterTest {
    private static final long SECOND = SimFleet.SECOND;
    private static final List<String> THREE = List.of("a", "b", "c");

    private static Gateway leader(SimFleet fleet) {
        assertTrue(
                fleet.runUntil(() -> fleet.leader().isPresent(), 30 * SECOND), () -> "no leader: " + fleet.logLines());
        return fleet.leader().orElseThrow();
    }

    /** Proposes numbers until one is acknowledged. */
    private static void add(SimFleet fleet) {
        int before = fleet.acknowledged().size();
        for (int i = 0; i < 40 && fleet.acknowledged().size() == before; i++) {
            fleet.propose(leader(fleet));
            fleet.runUntil(() -> fleet.acknowledged().size() > before, SECOND);
        }
        assertNotEquals(before, fleet.acknowledged().size(), () -> "no proposal is acknowledged: " + fleet.logLines());
    }

    private static List<Gateway> others(SimFleet fleet, Gateway excluded) {
        return fleet.all().stream().filter(gateway -> gateway != excluded).toList();
    }

    @Test
    void bootstrappedGroupElectsALeaderAndCommits() throws Exception {
        SimFleet fleet = new SimFleet(1, THREE, List.of("d"));
        add(fleet);
        fleet.run(3 * SECOND);
        for (String name : THREE) {
            assertEquals(
                    List.copyOf(fleet.acknowledged()),
                    fleet.gateway(name).numberLog().values());
        }
        assertEquals(VoterPhase.IDLE, fleet.gateway("d").voter().phase());
        List<ProposalOutcome> outcomes = new ArrayList<>();
        fleet.gateway("d").voter().propose(new byte[] {9}, outcomes::add);
        assertEquals(List.of(new ProposalOutcome.NotLeader(Optional.empty())), outcomes);
    }

    @Test
    void anotherLeaderReplacesAFailedOne() throws Exception {
        SimFleet fleet = new SimFleet(2, THREE, List.of());
        add(fleet);
        Gateway first = leader(fleet);
        first.crash();
        add(fleet);
        assertNotEquals(first, leader(fleet));
        first.start();
        fleet.run(10 * SECOND);
        assertEquals(VoterPhase.VOTING, first.voter().phase());
        assertTrue(first.numberLog().values().containsAll(fleet.acknowledged()));
    }

    @Test
    void voterWithAFullDiskStopsAndRecovers() throws Exception {
        SimFleet fleet = new SimFleet(3, THREE, List.of());
        add(fleet);
        Gateway first = leader(fleet);
        first.disk().health(SimDisk.Health.FULL);
        fleet.propose(first);
        fleet.run(SECOND);
        assertEquals(VoterPhase.FAILED, first.voter().phase());
        add(fleet);
        assertNotEquals(first, leader(fleet));
        first.disk().health(SimDisk.Health.GOOD);
        fleet.run(10 * SECOND);
        assertEquals(VoterPhase.VOTING, first.voter().phase());
        assertEquals(
                new VoterEndpoint(first.voter().endpoint().orElseThrow().name(), 1),
                first.voter().endpoint().orElseThrow());
        assertTrue(first.numberLog().values().containsAll(fleet.acknowledged()));
    }

    @Test
    void voterWithALostDiskReturnsUnderANewNumber() throws Exception {
        SimFleet fleet = new SimFleet(4, THREE, List.of());
        add(fleet);
        Gateway lost = others(fleet, leader(fleet)).get(0);
        String name = lost.voter().endpoint().orElseThrow().name();
        lost.crash();
        lost.disk(new SimDisk());
        lost.start();
        assertTrue(
                fleet.runUntil(
                        () -> lost.voter().phase() == VoterPhase.VOTING
                                && !lost.voter().incarnation().orElseThrow().isLearner(),
                        60 * SECOND),
                () -> fleet.logLines().toString());
        assertEquals(new VoterEndpoint(name, 2), lost.voter().endpoint().orElseThrow());
        fleet.run(10 * SECOND);
        assertEquals(THREE, leader(fleet).voter().voters());
        assertEquals(
                3,
                leader(fleet)
                        .voter()
                        .incarnation()
                        .orElseThrow()
                        .committedMembers()
                        .all()
                        .size());
        assertTrue(lost.numberLog().values().containsAll(fleet.acknowledged()));
    }

    @Test
    void reformattedFounderDoesNotVoteUnderItsOldNumber() throws Exception {
        SimFleet fleet = new SimFleet(5, THREE, List.of());
        add(fleet);
        Gateway lost = others(fleet, leader(fleet)).get(0);
        String name = lost.voter().endpoint().orElseThrow().name();
        lost.crash();
        lost.disk(new SimDisk());
        assertEquals(Optional.empty(), GroupBootstrap.format(lost.disk().open(), "c", name, THREE));
        lost.start();
        assertTrue(
                fleet.runUntil(() -> lost.voter().phase() == VoterPhase.RETIRED, 5 * SECOND),
                () -> fleet.logLines().toString());
        assertTrue(
                fleet.runUntil(
                        () -> lost.voter().endpoint().equals(Optional.of(new VoterEndpoint(name, 2))), 60 * SECOND),
                () -> fleet.logLines().toString());
    }

    @Test
    void restoredCopyOfADiskIsRefused() throws Exception {
        SimFleet fleet = new SimFleet(6, THREE, List.of());
        add(fleet);
        Gateway restored = others(fleet, leader(fleet)).get(0);
        SimDisk copy = restored.disk().copy();
        add(fleet);
        restored.crash();
        restored.disk(copy);
        restored.start();
        assertTrue(
                fleet.runUntil(() -> restored.voter().phase() == VoterPhase.RETIRED, 5 * SECOND),
                () -> fleet.logLines().toString());
    }

    @Test
    void lostVoterIsReplaced() throws Exception {
        SimFleet fleet = new SimFleet(7, THREE, List.of("d"));
        add(fleet);
        Gateway crashed = others(fleet, leader(fleet)).get(0);
        String name = crashed.voter().endpoint().orElseThrow().name();
        crashed.crash();
        List<String> requested = new ArrayList<>(THREE);
        requested.remove(name);
        requested.add("d");
        List<ProposalOutcome> outcomes = new ArrayList<>();
        leader(fleet).voter().changeVoters(requested, outcomes::add);
        assertTrue(
                fleet.runUntil(() -> !outcomes.isEmpty(), 60 * SECOND),
                () -> fleet.logLines().toString());
        assertTrue(outcomes.get(0) instanceof ProposalOutcome.Committed, outcomes::toString);
        assertEquals(requested.stream().sorted().toList(), leader(fleet).voter().voters());
        add(fleet);
        crashed.start();
        fleet.run(20 * SECOND);
        assertNotEquals(VoterPhase.VOTING, crashed.voter().phase());
        assertEquals(3, leader(fleet).voter().voters().size());
    }

    @Test
    void followerFarBehindGetsASnapshot() throws Exception {
        SimFleet fleet = new SimFleet(8, THREE, List.of());
        add(fleet);
        Gateway lagging = others(fleet, leader(fleet)).get(0);
        lagging.crash();
        for (int i = 0; i < 200; i++) {
            add(fleet);
        }
        lagging.start();
        fleet.run(10 * SECOND);
        assertTrue(lagging.numberLog().values().containsAll(fleet.acknowledged()));
        assertFalse(lagging.numberLog().values().size() > fleet.acknowledged().size() + fleet.unknownOutcomes());
    }
}
