package sandpaddle.fleet.state.machine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.state.SnapshotException;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * The members of the fleet, and the endpoint numbers under which they may vote. A name belongs to one address: a join
 * under the name of another address is refused until the owner has left. The highest number issued to each name is
 * retained after it left, so that no number is issued twice. The epoch counts changes. Deterministic; applied on the
 * consensus thread. Bound: {@value #MAX_MEMBERS} members and as many names with numbers.
 */
public final class FleetMembership implements FleetStateMachine.ReturnsCommandResult {
    /** Tag of this part's commands in the log. */
    public static final byte TAG = 1;
    /** Max number of members. */
    public static final int MAX_MEMBERS = 1024;

    private static final int MAX_TEXT_BYTES = 255;
    // types of commands in the log; never changed
    private static final int JOIN = 0;
    private static final int LEAVE = 1;
    private static final int ISSUE = 2;
    private static final int RETIRE = 3;
    private static final int MAX_NUMBER = 1_000_000;

    /**
     * The endpoint numbers of a name.
     *
     * @param issued the highest number that was issued
     * @param retired this number and all lower ones may not vote again; 0 if none is retired
     */
    public record EndpointNumbers(int issued, int retired) {}

    private final TreeMap<String, Member> members = new TreeMap<>();
    private final TreeMap<String, EndpointNumbers> numbers = new TreeMap<>();
    private long epoch;

    /** Encodes the join of a member; refused if its name is a member with another address. */
    public static byte[] joinCommand(Member member) {
        CborOut out = new CborOut().number(JOIN);
        write(out, member);
        return out.done();
    }

    /** Encodes the leave of a member. */
    public static byte[] leaveCommand(String name) {
        return new CborOut().number(LEAVE).text(name).done();
    }

    /**
     * Encodes the issue of an endpoint number to a voter; refused unless it is above all numbers issued to the name.
     */
    public static byte[] issueCommand(String name, int number) {
        return new CborOut().number(ISSUE).text(name).number(number).done();
    }

    /** Encodes the retirement of this number and all lower ones of the name. */
    public static byte[] retireCommand(String name, int number) {
        return new CborOut().number(RETIRE).text(name).number(number).done();
    }

    /** All members, sorted by name. */
    public Collection<Member> members() {
        return List.copyOf(members.values());
    }

    /** The member of this name. */
    public Optional<Member> member(String name) {
        return Optional.ofNullable(members.get(name));
    }

    /** Number of changes since the fleet was bootstrapped. */
    public long epoch() {
        return epoch;
    }

    /** The numbers of a name; for an unknown name those of a founder: 1 is issued, none is retired. */
    public EndpointNumbers numbers(String name) {
        return numbers.getOrDefault(name, new EndpointNumbers(1, 0));
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        try {
            CborIn in = new CborIn(command);
            int type = (int) in.number(JOIN, RETIRE);
            return switch (type) {
                case JOIN -> applyJoin(in);
                case LEAVE -> applyLeave(in);
                default -> applyNumberCommand(in, type == ISSUE);
            };
        } catch (FaultyMessageException e) {
            return CommandResult.refused("malformed membership command: " + e.getMessage());
        }
    }

    private byte[] acceptChange() {
        epoch++;
        return CommandResult.accepted(new CborOut().number(epoch).done());
    }

    private byte[] applyJoin(CborIn in) throws FaultyMessageException {
        Member member = read(in);
        in.end();
        Member existing = members.get(member.name());
        if (member.equals(existing)) {
            return CommandResult.accepted(new CborOut().number(epoch).done());
        }
        if (existing != null && !(existing.host().equals(member.host()) && existing.port() == member.port())) {
            return CommandResult.refused("the name " + member.name() + " belongs to the gateway at " + existing.host()
                    + ":" + existing.port() + " in hall " + existing.zone());
        }
        if (existing == null && members.size() >= MAX_MEMBERS) {
            return CommandResult.refused("the fleet has " + MAX_MEMBERS + " members already");
        }
        members.put(member.name(), member);
        return acceptChange();
    }

    private byte[] applyLeave(CborIn in) throws FaultyMessageException {
        String name = in.text(MAX_TEXT_BYTES);
        in.end();
        return members.remove(name) == null ? CommandResult.refused("no member has the name " + name) : acceptChange();
    }

    private byte[] applyNumberCommand(CborIn in, boolean issues) throws FaultyMessageException {
        String name = in.text(MAX_TEXT_BYTES);
        int number = (int) in.number(1, MAX_NUMBER);
        in.end();
        EndpointNumbers before = numbers(name);
        if (issues && number <= before.issued()) {
            return CommandResult.refused(
                    "number " + number + " of " + name + " is not above " + before.issued() + ", handed out before");
        }
        if (!numbers.containsKey(name) && numbers.size() >= MAX_MEMBERS && !evictUnusedName()) {
            return CommandResult.refused("numbers of " + MAX_MEMBERS + " names are kept already");
        }
        numbers.put(
                name,
                issues
                        ? new EndpointNumbers(number, before.retired())
                        : new EndpointNumbers(Math.max(before.issued(), number), Math.max(before.retired(), number)));
        return acceptChange();
    }

    /** Removes the first name that is no member and has no number in use. Returns false if there is none. */
    private boolean evictUnusedName() {
        for (Map.Entry<String, EndpointNumbers> entry : numbers.entrySet()) {
            if (!members.containsKey(entry.getKey())
                    && entry.getValue().retired() >= entry.getValue().issued()) {
                numbers.remove(entry.getKey());
                return true;
            }
        }
        return false;
    }

    private static void write(CborOut out, Member member) {
        out.text(member.name()).text(member.zone()).text(member.host()).number(member.port());
    }

    private static Member read(CborIn in) throws FaultyMessageException {
        String name = in.text(MAX_TEXT_BYTES);
        if (name.isEmpty() || name.indexOf('#') >= 0) {
            throw in.wrong("is not a member name: empty, or with a #");
        }
        return new Member(name, in.text(MAX_TEXT_BYTES), in.text(MAX_TEXT_BYTES), (int) in.number(1, 65_535));
    }

    @Override
    public byte[] snapshot() {
        return new CborOut()
                .number(epoch)
                .list(members.values(), FleetMembership::write)
                .list(
                        numbers.entrySet(),
                        (out, entry) -> out.text(entry.getKey())
                                .number(entry.getValue().issued())
                                .number(entry.getValue().retired()))
                .done();
    }

    @Override
    public void install(byte[] snapshot) {
        try {
            CborIn in = new CborIn(snapshot);
            long restoredEpoch = in.number(0, Long.MAX_VALUE);
            List<Member> restoredMembers = new ArrayList<>(in.list(MAX_MEMBERS, FleetMembership::read));
            TreeMap<String, EndpointNumbers> restoredNumbers = new TreeMap<>();
            in.list(
                    MAX_MEMBERS,
                    item -> restoredNumbers.put(
                            item.text(MAX_TEXT_BYTES),
                            new EndpointNumbers((int) item.number(1, MAX_NUMBER), (int) item.number(0, MAX_NUMBER))));
            in.end();
            epoch = restoredEpoch;
            members.clear();
            restoredMembers.forEach(member -> members.put(member.name(), member));
            numbers.clear();
            numbers.putAll(restoredNumbers);
        } catch (FaultyMessageException e) {
            throw new SnapshotException("malformed snapshot of the membership: " + e.getMessage(), e);
        }
    }
}
