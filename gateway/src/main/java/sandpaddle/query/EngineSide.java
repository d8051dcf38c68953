package sandpaddle.query;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What stands between the dispatcher and the engines, whatever protocol they speak. All calls come from the loop's
 * thread; what a call begins is told in that call or in a later turn.
 */
public interface EngineSide {
    /** An attempt that was begun and has not ended. */
    interface Running {
        /** Withdraws it: the engine is told to stop. {@code requestOver}: nobody waits for that to have happened. */
        void cancel(boolean requestOver);

        /** Changes the priority of what runs, 0 to 3. */
        void priority(int priority);
    }

    /** Who hears of an attempt. */
    interface Listener {
        /** News of its progress, as the engine words it. */
        void note(String topic, double value);

        /** Its engine cannot be reached any more; the attempt is out nevertheless, for what it runs may go on. */
        void outOfReach();

        /** Its end, once. */
        void ended(AttemptEnd end);
    }

    /**
     * The list's word on an engine; {@code up}: it may be sent new work, {@code gone}: its process has ended. The
     * address may be null where it is not up.
     */
    void listed(String id, InetSocketAddress address, Instant startedAt, boolean up, boolean gone);

    /** A whole list was told: what it lacks is gone. */
    void keepOnly(Set<String> ids);

    /** Whether the list allows new work on it. */
    boolean isUp(String id);

    /** Begins an attempt on an engine that is up. */
    Running start(String engine, AttemptOrder order, Listener listener);

    /** Asks an engine that is up for its load. */
    void probe(String engine, Consumer<ProbeEnd> told);

    /** Whether every engine that was to be told to stop has been told. */
    boolean isIdle();
}
