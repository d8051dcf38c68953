package sandpaddle.fleet.member;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The members of the fleet by name, each with the last known incarnation; immutable. Bounded by {@value #MAX_MEMBERS}
 * members, so that a faulty command cannot fill the memory of all gateways at once.
 */
public final class Roster {
    /** Maximum number of members. */
    public static final int MAX_MEMBERS = 1024;
    /** A roster without members. */
    public static final Roster EMPTY = new Roster(new TreeMap<>());

    /**
     * An entry of the roster.
     *
     * @param member the member
     * @param incarnation the last known incarnation of its process, 0 if unknown
     */
    public record Entry(Member member, long incarnation) {}

    private final TreeMap<String, Entry> entries;

    private Roster(TreeMap<String, Entry> entries) {
        this.entries = entries;
    }

    /** A roster of these members, without incarnations. */
    public static Roster of(Collection<Member> members) {
        Roster roster = EMPTY;
        for (Member member : members) {
            roster = roster.with(member);
        }
        return roster;
    }

    /**
     * This roster with a member added, or with its zone and address replaced; its incarnation stays.
     *
     * @throws IllegalArgumentException naming the member, if its name, zone or port is invalid or the roster is full
     */
    public Roster with(Member member) {
        MemberName.check("member name", member.name());
        MemberName.check("hall of " + member.name(), member.zone());
        if (member.port() < 1 || member.port() > 65535) {
            throw new IllegalArgumentException(
                    "port of " + member.name() + " is " + member.port() + ", not from 1 to 65535");
        }
        Entry known = entries.get(member.name());
        if (known == null && entries.size() >= MAX_MEMBERS) {
            throw new IllegalArgumentException("member " + member.name() + " exceeds the maximum of " + MAX_MEMBERS);
        }
        return put(new Entry(member, known == null ? 0 : known.incarnation()));
    }

    /** This roster without a member. */
    public Roster without(String name) {
        if (!entries.containsKey(name)) {
            return this;
        }
        TreeMap<String, Entry> copy = new TreeMap<>(entries);
        copy.remove(name);
        return new Roster(copy);
    }

    /** This roster with the incarnation of a member; unchanged for a name that is not a member. */
    public Roster withIncarnation(String name, long incarnation) {
        Entry known = entries.get(name);
        return known == null || known.incarnation() == incarnation ? this : put(new Entry(known.member(), incarnation));
    }

    private Roster put(Entry entry) {
        TreeMap<String, Entry> copy = new TreeMap<>(entries);
        copy.put(entry.member().name(), entry);
        return new Roster(copy);
    }

    /** Whether a name is a member. */
    public boolean contains(String name) {
        return entries.containsKey(name);
    }

    /** The entry of a member. */
    public Optional<Entry> entry(String name) {
        return Optional.ofNullable(entries.get(name));
    }

    /** A member by name. */
    public Optional<Member> member(String name) {
        return entry(name).map(Entry::member);
    }

    /** All members, ordered by name. */
    public List<Member> members() {
        return entries.values().stream().map(Entry::member).toList();
    }

    /** The names of all members. */
    public SortedSet<String> names() {
        return Collections.unmodifiableSortedSet(new TreeSet<>(entries.keySet()));
    }

    /** The members of a zone, ordered by name. */
    public List<Member> inZone(String zone) {
        return members().stream()
                .filter(member -> member.zone().equals(zone))
                .sorted(Comparator.comparing(Member::name))
                .toList();
    }

    /** The zones that have a member. */
    public SortedSet<String> zones() {
        SortedSet<String> zones = new TreeSet<>();
        entries.values().forEach(entry -> zones.add(entry.member().zone()));
        return zones;
    }

    /** Number of members. */
    public int size() {
        return entries.size();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Roster roster && entries.equals(roster.entries);
    }

    @Override
    public int hashCode() {
        return entries.hashCode();
    }

    @Override
    public String toString() {
        return "Roster" + entries.values();
    }
}
