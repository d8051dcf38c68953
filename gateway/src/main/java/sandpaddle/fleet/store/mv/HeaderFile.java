package sandpaddle.fleet.store.mv;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;
import sandpaddle.fleet.store.VoterIdentity;
import sandpaddle.fleet.store.disk.DiskFile;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborOut;

/**
 * The header of a voter's directory: its owner, the number of its openings, and the file that holds its content. It is
 * stored in two slots of one file, which are written one after the other with a sync after each, so that at least one
 * is intact after any crash. The slots are overwritten in place, which needs no space on a full disk.
 */
final class HeaderFile {
    static final String NAME = "voter.id";
    private static final int SLOT_BYTES = 4096; // no sector or page holds parts of both slots
    private static final int PREFIX_BYTES = 8; // length and checksum of the payload
    private static final int VERSION = 1;
    private static final int MAX_FAULT_BYTES = 1024; // bytes of UTF-8

    /**
     * One version of the header.
     *
     * @param sequence counts the versions; the higher one is valid
     * @param identity the owner; empty before the first {@code setIdentity}
     * @param generation counts the openings of the directory
     * @param fileNumber number of the file with the content, 0 if there is none yet
     * @param fault why the content is not trusted; empty while it is
     */
    record Header(long sequence, Optional<VoterIdentity> identity, long generation, long fileNumber, String fault) {
        static final Header NONE = new Header(0, Optional.empty(), 0, 0, "");

        Header withIdentity(Optional<VoterIdentity> newIdentity, String newFault) {
            return new Header(sequence + 1, newIdentity, generation, fileNumber, truncated(newFault));
        }

        Header withFile(long newFileNumber) {
            return new Header(sequence + 1, identity, generation, newFileNumber, fault);
        }

        Header forNextOpening(long newFileNumber, String newFault) {
            return new Header(sequence + 1, identity, generation + 1, newFileNumber, truncated(newFault));
        }

        private static String truncated(String text) {
            // a character has up to 4 bytes
            return text.length() <= MAX_FAULT_BYTES / 4 ? text : text.substring(0, MAX_FAULT_BYTES / 4);
        }
    }

    private HeaderFile() {}

    /** Reads the newer of the intact slots; empty if neither is intact. */
    static Optional<Header> read(DiskFile file) throws IOException {
        Optional<Header> newest = Optional.empty();
        for (int i = 0; i < 2; i++) {
            Optional<Header> candidate = readSlot(file, i);
            if (candidate.isPresent()
                    && (newest.isEmpty()
                            || candidate.get().sequence() > newest.get().sequence())) {
                newest = candidate;
            }
        }
        return newest;
    }

    private static Optional<Header> readSlot(DiskFile file, int slot) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(SLOT_BYTES);
        if (file.read((long) slot * SLOT_BYTES, buffer) < SLOT_BYTES) {
            return Optional.empty();
        }
        buffer.flip();
        int length = buffer.getInt();
        int storedChecksum = buffer.getInt();
        if (length <= 0 || length > SLOT_BYTES - PREFIX_BYTES) {
            return Optional.empty();
        }
        byte[] payload = new byte[length];
        buffer.get(payload);
        return storedChecksum == checksum(payload) ? parse(payload) : Optional.empty();
    }

    private static Optional<Header> parse(byte[] payload) throws CorruptFileException {
        try {
            CborIn in = new CborIn(payload);
            in.number(VERSION, VERSION);
            long sequence = in.number(0, Long.MAX_VALUE);
            Optional<VoterIdentity> identity = in.flag()
                    ? Optional.of(new VoterIdentity(
                            in.text(VoterIdentity.MAX_BYTES),
                            in.text(VoterIdentity.MAX_BYTES),
                            in.text(VoterIdentity.MAX_BYTES)))
                    : Optional.empty();
            Header header = new Header(
                    sequence,
                    identity,
                    in.number(0, Long.MAX_VALUE),
                    in.number(0, Long.MAX_VALUE),
                    in.text(MAX_FAULT_BYTES));
            in.end();
            return Optional.of(header);
        } catch (CborIn.FaultyMessageException | IllegalArgumentException e) {
            // the checksum matches, so another version of this program wrote it: it must not be overwritten
            throw new CorruptFileException(
                    NAME + " has an unsupported format, expected version " + VERSION + ": " + e.getMessage(), e);
        }
    }

    /** Writes both slots; the header is durable when it returns. */
    static void write(DiskFile file, Header header) throws IOException {
        CborOut out = new CborOut()
                .number(VERSION)
                .number(header.sequence())
                .flag(header.identity().isPresent());
        header.identity()
                .ifPresent(id -> out.text(id.cluster()).text(id.member()).text(id.endpoint()));
        byte[] payload = out.number(header.generation())
                .number(header.fileNumber())
                .text(header.fault())
                .done();
        for (int i = 0; i < 2; i++) {
            ByteBuffer buffer = ByteBuffer.allocate(SLOT_BYTES);
            buffer.putInt(payload.length).putInt(checksum(payload)).put(payload).rewind();
            file.write((long) i * SLOT_BYTES, buffer);
            file.force();
        }
    }

    /** CRC-32C of the bytes. */
    static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }
}
