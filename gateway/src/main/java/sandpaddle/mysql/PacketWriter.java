package sandpaddle.mysql;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Encodes consecutive packets, with sequence ids that count up from the first one. */
final class PacketWriter {
    private static final int HEADER_BYTES = 4;
    private static final int MAX_ONE_BYTE_INTEGER = 250; // a longer length is preceded by a marker byte
    private static final int MAX_TWO_BYTE_INTEGER = 0xFFFF;
    private static final int TWO_BYTE_MARKER = 0xFC;
    private static final int THREE_BYTE_MARKER = 0xFD;

    /** A growing buffer whose bytes can be overwritten: a packet's length is known only at its end. */
    private static final class PatchableBuffer extends ByteArrayOutputStream {
        PatchableBuffer(int size) {
            super(size);
        }

        void overwrite(int index, int value) {
            buf[index] = (byte) value;
        }
    }

    private final PatchableBuffer out;
    private int sequenceId, packetStart;

    PacketWriter(int firstSequenceId, int sizeHint) {
        sequenceId = firstSequenceId;
        out = new PatchableBuffer(sizeHint);
        beginPacket();
    }

    private void beginPacket() {
        packetStart = out.size();
        integer(0, HEADER_BYTES);
    }

    /** Completes the packet; the next write starts another one. */
    PacketWriter endPacket() {
        int length = out.size() - packetStart - HEADER_BYTES;
        for (int i = 0; i < HEADER_BYTES - 1; i++) {
            out.overwrite(packetStart + i, length >>> 8 * i);
        }
        out.overwrite(packetStart + HEADER_BYTES - 1, sequenceId++);
        beginPacket();
        return this;
    }

    /** The completed packets. */
    byte[] bytes() {
        byte[] all = out.toByteArray();
        return packetStart == all.length - HEADER_BYTES ? java.util.Arrays.copyOf(all, packetStart) : all;
    }

    /** Appends an integer of a fixed size, least significant byte first. */
    PacketWriter integer(long value, int bytes) {
        for (int i = 0; i < bytes; i++) {
            out.write((int) (value >>> 8 * i));
        }
        return this;
    }

    /** Appends bytes as they are. */
    PacketWriter raw(byte[] bytes) {
        out.writeBytes(bytes);
        return this;
    }

    /** Appends a null-terminated string in UTF-8. */
    PacketWriter nullTerminated(String text) {
        return raw(text.getBytes(StandardCharsets.UTF_8)).integer(0, 1);
    }

    /** Appends a length-encoded integer below 2^24. */
    PacketWriter lengthEncodedInteger(long value) {
        if (value <= MAX_ONE_BYTE_INTEGER) {
            return integer(value, 1);
        }
        return value <= MAX_TWO_BYTE_INTEGER
                ? integer(TWO_BYTE_MARKER, 1).integer(value, 2)
                : integer(THREE_BYTE_MARKER, 1).integer(value, 3);
    }

    /** Appends a length-encoded string in UTF-8. */
    PacketWriter lengthEncodedString(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return lengthEncodedInteger(bytes.length).raw(bytes);
    }

    /** Appends a range of an array as a length-encoded string. */
    PacketWriter lengthEncodedBytes(byte[] from, int offset, int length) {
        lengthEncodedInteger(length);
        out.write(from, offset, length);
        return this;
    }
}
