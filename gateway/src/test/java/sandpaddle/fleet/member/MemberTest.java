package sandpaddle.fleet.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class MemberTest {
    private static Member member(String name, String zone) {
        return new Member(name, zone, "10.0.0.1", 7000);
    }

    @Test
    void namesAreShortAndOfPermittedCharacters() {
        for (String valid : List.of("a", "GW-1.hall_2", "0", "x".repeat(64))) {
            assertTrue(MemberName.isValid(valid), valid);
        }
        for (String invalid : List.of("", "x".repeat(65), "a b", "a/b", "é", "a\n", "a:1")) {
            assertFalse(MemberName.isValid(invalid), invalid);
        }
        assertFalse(MemberName.isValid(null));
        assertEquals(
                "hall 'a b' is not 1 to 64 of A-Z a-z 0-9 . _ -",
                assertThrows(IllegalArgumentException.class, () -> MemberName.check("hall", "a b"))
                        .getMessage());
    }

    @Test
    void rosterIsImmutableAndComparedByValue() {
        Roster one = Roster.of(List.of(member("b", "h2"), member("a", "h1")));
        Roster two = one.with(member("c", "h1")).withIncarnation("a", 7).withIncarnation("nobody", 3);
        assertEquals(List.of("a", "b"), one.members().stream().map(Member::name).toList());
        assertEquals(0, one.entry("a").orElseThrow().incarnation());
        assertEquals(7, two.entry("a").orElseThrow().incarnation());
        assertEquals(7, two.with(member("a", "h9")).entry("a").orElseThrow().incarnation(), "a moved member");
        assertEquals(List.of(member("a", "h1"), member("c", "h1")), two.inZone("h1"));
        assertEquals("[h1, h2]", two.zones().toString());
        assertEquals(Optional.empty(), two.without("b").member("b"));
        assertEquals(one, two.without("c").withIncarnation("a", 0));
        assertEquals(3, two.size());
    }

    @Test
    void rosterRejectsInvalidMembersAndIsBounded() {
        assertEquals(
                "port of a is 0, not from 1 to 65535",
                assertThrows(
                                IllegalArgumentException.class,
                                () -> Roster.EMPTY.with(new Member("a", "h", "10.0.0.1", 0)))
                        .getMessage());
        assertThrows(IllegalArgumentException.class, () -> Roster.EMPTY.with(member("a b", "h")));
        Roster full = Roster.EMPTY;
        for (int i = 0; i < Roster.MAX_MEMBERS; i++) {
            full = full.with(member("m" + i, "h"));
        }
        Roster last = full;
        assertThrows(IllegalArgumentException.class, () -> last.with(member("more", "h")));
        assertEquals(full.size(), last.with(member("m1", "h2")).size(), "a known member may change its zone");
    }

    @Test
    void zoneIsReachableIfHalfOfItsMembersAreUp() {
        LinkHealth health = new LinkHealth();
        health.setPeers(10, List.of(member("a", "h1"), member("b", "h2"), member("c", "h2"), member("d", "h2")));
        health.linkUp(20, "a", 5);
        health.linkUp(21, "b", 6);
        health.linkUp(22, "stranger", 6);
        assertTrue(health.isReachable("h1"));
        assertFalse(health.isReachable("h2"), "one of three");
        health.linkUp(30, "c", 7);
        health.roundTripMeasured("c", 900);
        assertEquals(
                List.of(new LinkHealth.Zone("h1", 1, 1, true, 20), new LinkHealth.Zone("h2", 3, 2, true, 30)),
                health.zones());
        health.linkDown(40, "c", "SILENT");
        health.linkDown(41, "c", "UNREACHABLE");
        health.roundTripMeasured("c", 900);
        assertEquals(
                new LinkHealth.Peer("c", "h2", false, 40, 0, 7, "UNREACHABLE"),
                health.peers().get(2));
        assertFalse(health.isReachable("h2"));
        health.setPeers(50, List.of(member("b", "h2"), member("c", "h2")));
        assertTrue(health.isReachable("h2"), "half of two");
        assertFalse(health.isReachable("h1"), "no member is watched there");
        assertEquals(2, health.peers().size());
    }
}
