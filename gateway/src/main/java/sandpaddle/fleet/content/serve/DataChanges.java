package sandpaddle.fleet.content.serve;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sandpaddle.fleet.content.ResultMetadata;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborOut;

/**
 * The last load of each data group that this gateway knows of, for cache invalidation. A load and a cached result of
 * the same incarnation are compared by monotonic time, others by the wall clock. A result without known data groups is
 * invalidated by any load.
 *
 * <p>Bound: {@value #MAX_GROUPS} groups of about 100 bytes. Above it the group recorded longest ago is dropped, and its
 * load then counts as a load of every group, so no invalidation is lost. Not thread-safe.
 */
public final class DataChanges {
    static final int MAX_GROUPS = 16_384;
    private static final int VERSION = 1;

    /** A load, with the time at which it completed. */
    private record Load(long monoUs, long wallMs, long incarnation) {
        /** Returns whether a result was requested before the load completed. */
        boolean invalidates(ResultMetadata metadata, long slackUs) {
            return incarnation == metadata.incarnation()
                    ? metadata.requestedAtMonoUs() - slackUs <= monoUs
                    : metadata.requestedAtWallMs() - slackUs / 1000 <= wallMs;
        }
    }

    private final long incarnation;
    private final long slackUs;
    private final Map<Long, Load> byGroup = new LinkedHashMap<>(); // in the order of recording
    private final List<Load> anyGroup = new ArrayList<>(2); // the latest one of this incarnation and of an earlier one

    /**
     * Creates an empty record.
     *
     * @param incarnation incarnation of this gateway
     * @param slackUs a result that was requested within this time after a load counts as requested before it
     */
    public DataChanges(long incarnation, long slackUs) {
        this.incarnation = incarnation;
        this.slackUs = slackUs;
    }

    /** Records that a load of a data group completed, or may have, at a monotonic and wall-clock time. */
    public void recordLoad(long group, long nowUs, long wallMs) {
        put(group, new Load(nowUs, wallMs, incarnation));
    }

    /** Records a load of unknown data groups, which invalidates all results requested before. */
    public void recordLoadOfUnknownGroups(long nowUs, long wallMs) {
        addForAnyGroup(new Load(nowUs, wallMs, incarnation));
    }

    private void put(long group, Load load) {
        Load previous = byGroup.get(group);
        if (previous != null && previous.incarnation == load.incarnation && previous.monoUs > load.monoUs) {
            return; // reordered: a later load is known
        }
        byGroup.remove(group);
        byGroup.put(group, load);
        if (byGroup.size() > MAX_GROUPS) {
            var eldest = byGroup.entrySet().iterator();
            Load dropped = eldest.next().getValue();
            eldest.remove();
            addForAnyGroup(dropped);
        }
    }

    private void addForAnyGroup(Load load) {
        for (int i = 0; i < anyGroup.size(); i++) {
            if (anyGroup.get(i).incarnation == load.incarnation) {
                boolean later = load.incarnation == incarnation
                        ? load.monoUs > anyGroup.get(i).monoUs
                        : load.wallMs > anyGroup.get(i).wallMs;
                anyGroup.set(i, later ? load : anyGroup.get(i));
                return;
            }
        }
        anyGroup.add(load);
    }

    /** Returns whether a known load changed a data group of a result after the result was requested. */
    public boolean invalidates(ResultMetadata metadata) {
        if (anyGroup.stream().anyMatch(load -> load.invalidates(metadata, slackUs))) {
            return true;
        }
        if (metadata.groups().isEmpty()) {
            return byGroup.values().stream().anyMatch(load -> load.invalidates(metadata, slackUs));
        }
        return metadata.groups().stream()
                .map(byGroup::get)
                .anyMatch(load -> load != null && load.invalidates(metadata, slackUs));
    }

    /** Returns the record in the form that {@link #restore} reads after a restart. */
    public byte[] export() {
        CborOut out = new CborOut().number(VERSION);
        out.list(
                byGroup.entrySet(), (item, entry) -> item.number(entry.getKey()).number(entry.getValue().wallMs));
        return out.number(anyGroup.stream().mapToLong(Load::wallMs).max().orElse(-1))
                .done();
    }

    /**
     * Adds the loads that an earlier incarnation knew of, which have only wall-clock times.
     *
     * @throws CborIn.FaultyMessageException if the bytes are invalid; nothing is added then
     */
    public void restore(byte[] exported) throws CborIn.FaultyMessageException {
        CborIn in = new CborIn(exported);
        in.number(VERSION, VERSION);
        List<Map.Entry<Long, Load>> all = in.list(
                MAX_GROUPS,
                item -> Map.entry(
                        item.number(Long.MIN_VALUE, Long.MAX_VALUE),
                        ofEarlierIncarnation(item.number(0, Long.MAX_VALUE / 4))));
        long anyGroupWallMs = in.number(-1, Long.MAX_VALUE / 4);
        in.end();
        for (Map.Entry<Long, Load> entry : all) {
            if (!byGroup.containsKey(entry.getKey())) {
                put(entry.getKey(), entry.getValue());
            }
        }
        if (anyGroupWallMs >= 0) {
            addForAnyGroup(ofEarlierIncarnation(anyGroupWallMs));
        }
    }

    /** Returns a load of an incarnation that no result has, so that it is compared by the wall clock. */
    private Load ofEarlierIncarnation(long wallMs) {
        return new Load(Long.MIN_VALUE, wallMs, ~incarnation);
    }
}
