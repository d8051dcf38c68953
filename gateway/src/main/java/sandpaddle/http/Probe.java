package sandpaddle.http;

import java.time.Duration;
import java.util.function.Consumer;
import sandpaddle.net.Loop;
import sandpaddle.query.ProbeEnd;

/** One question for an engine's load. */
final class Probe implements EnginePool.Waiter, EngineConnection.Call {
    private static final int OK = 200;

    private final Loop loop;
    private final EnginePool pool;
    private final Duration most;
    private final Consumer<ProbeEnd> told;
    private boolean over;

    Probe(Loop loop, EnginePool pool, Duration most, Consumer<ProbeEnd> told) {
        this.loop = loop;
        this.pool = pool;
        this.most = most;
        this.told = told;
    }

    void start() {
        pool.acquire(this);
    }

    @Override
    public void up(EngineConnection connection) {
        loop.after(most, () -> end(ProbeEnd.Kind.TIMED_OUT, null));
        connection.call(Requests.load(pool.host()), most.plus(most), this);
    }

    @Override
    public void down(EnginePool.Down how, String why) {
        end(how.tellsOfEngine() ? ProbeEnd.Kind.NOT_CONNECTED : ProbeEnd.Kind.NOT_MADE, null);
    }

    @Override
    public void answered(Response r, EngineConnection kept) {
        if (kept != null) {
            pool.release(kept);
        }
        end(r.status() == OK ? ProbeEnd.Kind.WELL : ProbeEnd.Kind.UNWELL, r.header(QueryPolling.STATS));
    }

    @Override
    public void failed(EngineConnection.Failure how, String why, boolean maybeSent) {
        end(ProbeEnd.Kind.BROKEN, null);
    }

    private void end(ProbeEnd.Kind kind, String stats) {
        if (!over) {
            over = true;
            told.accept(new ProbeEnd(kind, stats));
        }
    }
}
