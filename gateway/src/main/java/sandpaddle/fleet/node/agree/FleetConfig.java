package sandpaddle.fleet.node.agree;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.table.LimitCommandCodec;
import sandpaddle.fleet.member.Member;
import sandpaddle.fleet.member.MemberName;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * The fleet-wide part of the operator's file: the highest {@code version} is in force, whichever gateway has it. {@code
 * pool}: the text of the pool policy, empty for none; {@code schedule}: the text of the zones' outages, empty for none.
 */
public record FleetConfig(
        long version, List<Member> members, List<LimitSpec> limits, String poolPolicy, String schedule) {
    /** The name of its text among those that the voters agree on. */
    public static final String NAME = "agreed";
    /** Before any file was read. */
    public static final FleetConfig NONE = new FleetConfig(0, List.of(), List.of(), "", "");
    /** The longest pool policy or schedule, in bytes of UTF-8. */
    public static final int MAX_TEXT_BYTES = 64 << 10;

    private static final int MAX_MEMBERS = 1024;
    private static final int MAX_HOST = 255;
    private static final long FORMAT = 1;

    public Optional<Member> member(String name) {
        return members.stream().filter(member -> member.name().equals(name)).findFirst();
    }

    /** As the voters keep it. */
    public String encode() {
        byte[] bytes = new CborOut()
                .number(FORMAT)
                .number(version)
                .list(
                        members,
                        (o, member) -> o.text(member.name())
                                .text(member.zone())
                                .text(member.host())
                                .number(member.port()))
                .list(limits, LimitCommandCodec::writeSpec)
                .text(poolPolicy)
                .text(schedule)
                .done();
        return Base64.getEncoder().encodeToString(bytes);
    }

    /** Reads what {@link #encode} wrote. */
    public static FleetConfig parse(String text) throws FaultyMessageException {
        byte[] bytes;
        try {
            bytes = Base64.getDecoder().decode(text.getBytes(StandardCharsets.US_ASCII));
        } catch (IllegalArgumentException e) {
            throw new FaultyMessageException("what the fleet agreed on is no base64: " + e.getMessage());
        }
        CborIn in = new CborIn(bytes);
        in.number(FORMAT, FORMAT);
        FleetConfig agreed = new FleetConfig(
                in.number(1, Long.MAX_VALUE),
                in.list(MAX_MEMBERS, FleetConfig::member),
                in.list(LimitCommandCodec.MAX_LIMITS, LimitCommandCodec::readSpec),
                in.text(MAX_TEXT_BYTES),
                in.text(MAX_TEXT_BYTES));
        in.end();
        return agreed;
    }

    private static Member member(CborIn in) throws FaultyMessageException {
        Member member =
                new Member(in.text(MemberName.MAX_CHARS), in.text(MemberName.MAX_CHARS), in.text(MAX_HOST), (int)
                        in.number(1, 65_535));
        try {
            MemberName.check("member name", member.name());
            MemberName.check("hall of " + member.name(), member.zone());
        } catch (IllegalArgumentException e) {
            throw in.wrong(e.getMessage());
        }
        return member;
    }
}
