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
 * The fleet-wide part of the operator's file. The configuration with the highest version is in force on all gateways,
 * whichever gateway's file has it. Immutable.
 *
 * @param version version of the configuration; 0 before any file was read
 * @param members the gateways of the fleet
 * @param limits the limits of the fleet
 * @param poolPolicy text of the pool policy, empty for none
 * @param schedule text of the planned outages of zones, empty for none
 */
public record FleetConfig(
        long version, List<Member> members, List<LimitSpec> limits, String poolPolicy, String schedule) {
    /** Name of its document in {@link sandpaddle.fleet.state.machine.VersionedDocuments}. */
    public static final String DOCUMENT_NAME = "agreed";
    /** The configuration before any file was read. */
    public static final FleetConfig NONE = new FleetConfig(0, List.of(), List.of(), "", "");
    /** Max size of the pool policy and of the schedule (bytes of UTF-8). */
    public static final int MAX_TEXT_BYTES = 64 << 10;

    private static final int MAX_MEMBERS = 1024;
    private static final int MAX_HOST_BYTES = 255;
    private static final long FORMAT_VERSION = 1;

    /** The member of this name. */
    public Optional<Member> member(String name) {
        return members.stream().filter(member -> member.name().equals(name)).findFirst();
    }

    /** Encodes it for the replicated document: CBOR in base64. */
    public String encode() {
        byte[] bytes = new CborOut()
                .number(FORMAT_VERSION)
                .number(version)
                .list(
                        members,
                        (out, member) -> out.text(member.name())
                                .text(member.zone())
                                .text(member.host())
                                .number(member.port()))
                .list(limits, LimitCommandCodec::writeSpec)
                .text(poolPolicy)
                .text(schedule)
                .done();
        return Base64.getEncoder().encodeToString(bytes);
    }

    /**
     * Decodes what {@link #encode} encoded.
     *
     * @throws FaultyMessageException if the text is malformed or a value is out of its range
     */
    public static FleetConfig parse(String text) throws FaultyMessageException {
        byte[] bytes;
        try {
            bytes = Base64.getDecoder().decode(text.getBytes(StandardCharsets.US_ASCII));
        } catch (IllegalArgumentException e) {
            throw new FaultyMessageException("the fleet configuration is not valid base64: " + e.getMessage());
        }
        CborIn in = new CborIn(bytes);
        in.number(FORMAT_VERSION, FORMAT_VERSION);
        FleetConfig config = new FleetConfig(
                in.number(1, Long.MAX_VALUE),
                in.list(MAX_MEMBERS, FleetConfig::member),
                in.list(LimitCommandCodec.MAX_LIMITS, LimitCommandCodec::readSpec),
                in.text(MAX_TEXT_BYTES),
                in.text(MAX_TEXT_BYTES));
        in.end();
        return config;
    }

    private static Member member(CborIn in) throws FaultyMessageException {
        Member member =
                new Member(in.text(MemberName.MAX_CHARS), in.text(MemberName.MAX_CHARS), in.text(MAX_HOST_BYTES), (int)
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
