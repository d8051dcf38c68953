package sandpaddle.fleet.limit.lease;

import java.util.List;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/**
 * The file of a gateway's floors, which a running gateway rewrites every few seconds. A file of another boot of the
 * host, or one that has reached its max age, is not used: it may be a copy that was restored.
 *
 * @param boot id of the host's boot, as its monotonic clock restarts with it
 * @param writtenAtUs when the file was written, by the monotonic clock (us)
 * @param maxAgeUs the {@code floorMaxAgeUs} of the settings when it was written (us)
 * @param floors the floors of all slots
 */
public record FloorFile(String boot, long writtenAtUs, long maxAgeUs, List<SavedFloor> floors) {
    private static final long FORMAT = 1;

    /** Encodes the file as CBOR. */
    public byte[] write() {
        return new CborOut()
                .number(FORMAT)
                .text(boot)
                .number(writtenAtUs)
                .number(maxAgeUs)
                .list(floors, FloorFile::writeFloor)
                .done();
    }

    private static void writeFloor(CborOut out, SavedFloor floor) {
        out.text(floor.limit()).text(floor.tenant()).number(floor.floor());
    }

    /** Decodes a file. */
    public static FloorFile read(byte[] bytes) throws FaultyMessageException {
        CborIn in = new CborIn(bytes);
        in.number(FORMAT, FORMAT);
        FloorFile file = new FloorFile(
                in.text(LimitSpec.MAX_NAME_BYTES),
                in.number(Long.MIN_VALUE, Long.MAX_VALUE),
                in.number(0, Long.MAX_VALUE),
                in.list(QuotaHolder.MAX_SLOTS, FloorFile::readFloor));
        in.end();
        return file;
    }

    private static SavedFloor readFloor(CborIn in) throws FaultyMessageException {
        return new SavedFloor(
                in.text(LimitSpec.MAX_ID_BYTES), in.text(LimitSpec.MAX_NAME_BYTES), in.number(0, LimitSpec.MAX_AMOUNT));
    }

    /** The floors that a process of this boot may use now; empty if the file is too old or of another boot. */
    public List<SavedFloor> usable(String currentBoot, long nowUs) {
        return boot.equals(currentBoot) && writtenAtUs <= nowUs && nowUs - writtenAtUs < maxAgeUs ? floors : List.of();
    }
}
