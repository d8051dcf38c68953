package sandpaddle.query;

import java.util.function.Consumer;

/** What stands behind every frontend. */
public interface QueryService {
    /** A query that was taken. */
    interface Ticket {
        /** The client no longer waits: no answer follows. */
        void leave();
    }

    /** Whether it knows engines to send to: a front that asks before should ask again. */
    boolean isReady();

    /** Takes a query; the answer comes once, in this call or in a later turn of the loop. */
    Ticket submit(Query query, Consumer<Answer> answer);
}
