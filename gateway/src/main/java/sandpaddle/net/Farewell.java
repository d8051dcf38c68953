package sandpaddle.net;

import java.nio.ByteBuffer;
import java.time.Duration;

/**
 * Ends a connection so that its last words are still read. Guards against a close with bytes unread, which would
 * reset the connection and take the words back: what still comes is thrown away, for a bounded time and amount.
 */
public final class Farewell implements Connection.Owner {
    private static final Duration MOST = Duration.ofSeconds(1);
    private static final long MOST_BYTES = 8L * 1024 * 1024;

    private final Connection connection;
    private final Runnable ended;
    private final Timers.Timer due;
    private long thrownAway;
    private boolean over;

    private Farewell(Loop loop, Connection connection, Runnable ended) {
        this.connection = connection;
        this.ended = ended;
        due = loop.after(MOST, this::close);
    }

    /** Takes a connection over; {@code ended} runs once, in a later turn or in {@link #close()}. */
    public static Farewell bid(Loop loop, Connection connection, byte[] words, Runnable ended) {
        Farewell f = new Farewell(loop, connection, ended);
        connection.owner(f);
        connection.reading(true);
        connection.endWith(words);
        connection.look();
        return f;
    }

    /** Enough of it: the descriptor is needed, or the time is over. What has come by now is thrown away first. */
    public void close() {
        connection.look();
        finish();
    }

    private void finish() {
        if (!over) {
            over = true;
            due.cancel();
            connection.close();
            ended.run();
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        thrownAway += bytes.remaining();
        if (thrownAway > MOST_BYTES) {
            finish();
        }
    }

    @Override
    public void closed(Exception cause) {
        finish();
    }
}
