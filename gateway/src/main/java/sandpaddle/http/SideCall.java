package sandpaddle.http;

import java.time.Duration;
import java.time.Instant;
import sandpaddle.net.Loop;

/**
 * A call beside the long poll, on a connection of its own: DELETE or PUT. Its answer says nothing but that it was
 * read. Guards against one that is lost with its connection: it is made again until it has come whole.
 */
final class SideCall implements EnginePool.Waiter, EngineConnection.Call {
    private static final Duration AGAIN = Duration.ofMillis(20);
    /** By then an engine has dropped what it was not asked for. */
    private static final Duration MOST = Duration.ofMillis(2100);
    /** A reset that takes a written call back shows by then. */
    private static final Duration SETTLED = Duration.ofMillis(40);

    private final Loop loop;
    private final Engines engines;
    private final EnginePool pool;
    private final byte[] request;
    private final Instant until;
    private Runnable told;
    private int writing; // numbers the tries: only the latest may settle

    private SideCall(Loop loop, Engines engines, EnginePool pool, byte[] request, Runnable told) {
        this.loop = loop;
        this.engines = engines;
        this.pool = pool;
        this.request = request;
        this.told = told;
        until = loop.now().plus(MOST);
    }

    /** {@code told} runs once, in a later turn or now: when the call has come whole, or nobody is there to read it. */
    static void make(Loop loop, Engines engines, EnginePool pool, byte[] request, Runnable told) {
        engines.sideCalls(1);
        pool.acquireReserved(new SideCall(loop, engines, pool, request, told));
    }

    private void end() {
        if (told != null) {
            Runnable task = told;
            told = null;
            engines.sideCalls(-1);
            task.run();
        }
    }

    private void again() {
        if (loop.now().isBefore(until)) {
            loop.after(AGAIN, () -> {
                if (told != null) {
                    pool.acquireReserved(this);
                }
            });
        } else {
            end();
        }
    }

    @Override
    public void up(EngineConnection connection) {
        writing++;
        connection.call(request, Attempt.SILENT, this);
    }

    @Override
    public void down(EnginePool.Down how, String why) {
        if (how == EnginePool.Down.NO_ROOM) {
            again();
        } else {
            end(); // the process or its machine is gone
        }
    }

    @Override
    public void written() {
        int mine = writing;
        loop.after(SETTLED, () -> {
            if (mine == writing) {
                end();
            }
        });
    }

    @Override
    public void answered(Response response, EngineConnection kept) {
        if (kept != null) {
            pool.release(kept);
        }
        end();
    }

    @Override
    public void failed(EngineConnection.Failure how, String why, boolean maybeSent) {
        writing++;
        if (how == EngineConnection.Failure.BROKEN && told != null) {
            again();
        } else {
            end(); // silent: written long ago; malformed: it was read
        }
    }
}
