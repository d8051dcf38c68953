package sandpaddle.fleet.verdict.wire;

import sandpaddle.fleet.verdict.evidence.EvidenceBatch;
import sandpaddle.fleet.verdict.evidence.EvidenceDissemination;
import sandpaddle.fleet.verdict.evidence.EvidenceMessage;
import sandpaddle.fleet.verdict.evidence.Finding;
import sandpaddle.fleet.verdict.evidence.Subject;
import sandpaddle.fleet.verdict.evidence.Topic;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * Encodes batches of evidence as CBOR (RFC 8949), with the version of the format as first value. Bounds: {@link
 * EvidenceDissemination#MAX_RECORDS} records and names of {@link #MAX_NAME_BYTES} bytes, so a message is under 80 kB.
 * A value out of its range is rejected with an error that names its position.
 */
public final class EvidenceCodec {
    /** Version of the format; messages of another version are rejected. */
    public static final int VERSION = 1;
    /** Maximum length of a name in bytes of UTF-8. */
    public static final int MAX_NAME_BYTES = 128;

    private static final int MAX_STRENGTH = 1_000_000;
    /** Maximum age (us), so that no sum of ages overflows. */
    private static final long MAX_AGE_US = Long.MAX_VALUE / 4;

    private static final Topic[] TOPICS = Topic.values();
    private static final Finding[] FINDINGS = Finding.values();

    private EvidenceCodec() {}

    /** Returns the encoded form of a batch. */
    public static byte[] encode(EvidenceBatch batch) {
        return new CborOut()
                .number(VERSION)
                .number(batch.sentAtUs())
                .number(batch.echoedStampUs())
                .number(batch.echoDelayUs())
                .number(batch.urgentUpTo())
                .number(batch.normalUpTo())
                .number(batch.urgentAck())
                .number(batch.normalAck())
                .list(batch.messages(), EvidenceCodec::writeMessage)
                .done();
    }

    private static void writeMessage(CborOut out, EvidenceMessage message) {
        out.number(message.subject().topic().ordinal())
                .text(message.subject().name())
                .text(message.reporter())
                .number(message.reporterIncarnation())
                .number(message.sequence())
                .number(message.finding().ordinal())
                .number(message.engineStartUs())
                .number(message.strength())
                .real(message.usage())
                .number(message.sinceAgeUs())
                .number(message.observedAgeUs());
    }

    /**
     * Decodes a batch.
     *
     * @throws FaultyMessageException naming the first value that is out of range
     */
    public static EvidenceBatch decode(byte[] message) throws FaultyMessageException {
        CborIn in = new CborIn(message);
        long version = in.number(0, Integer.MAX_VALUE);
        if (version != VERSION) {
            throw in.wrong("is evidence format version " + version + "; expected " + VERSION);
        }
        long sentAtUs = in.number(0, Long.MAX_VALUE);
        long echoedStampUs = in.number(EvidenceBatch.NO_ECHO, Long.MAX_VALUE);
        long echoDelayUs = in.number(0, Long.MAX_VALUE);
        EvidenceBatch batch = new EvidenceBatch(
                sentAtUs,
                echoedStampUs,
                echoDelayUs,
                in.number(0, Long.MAX_VALUE),
                in.number(0, Long.MAX_VALUE),
                in.number(0, Long.MAX_VALUE),
                in.number(0, Long.MAX_VALUE),
                in.list(EvidenceDissemination.MAX_RECORDS, EvidenceCodec::readMessage));
        in.end();
        return batch;
    }

    private static EvidenceMessage readMessage(CborIn in) throws FaultyMessageException {
        Topic topic = TOPICS[(int) in.number(0, TOPICS.length - 1)];
        Subject subject = new Subject(topic, in.text(MAX_NAME_BYTES));
        String reporter = in.text(MAX_NAME_BYTES);
        long reporterIncarnation = in.number(0, Long.MAX_VALUE);
        long sequence = in.number(0, Long.MAX_VALUE);
        Finding finding = FINDINGS[(int) in.number(0, FINDINGS.length - 1)];
        if (!topic.allows(finding)) {
            throw in.wrong("is finding " + finding + ", which topic " + topic + " does not allow");
        }
        long engineStartUs = in.number(0, Long.MAX_VALUE);
        int strength = (int) in.number(0, MAX_STRENGTH);
        double usage = in.real();
        if (usage < 0) {
            throw in.wrong("is usage " + usage + "; expected at least 0");
        }
        long sinceAgeUs = in.number(0, MAX_AGE_US);
        return new EvidenceMessage(
                subject,
                reporter,
                reporterIncarnation,
                sequence,
                finding,
                engineStartUs,
                strength,
                usage,
                sinceAgeUs,
                in.number(0, MAX_AGE_US));
    }
}
