package sandpaddle.http;

/** A call beside the long poll, on a connection of its own: DELETE or PUT. Its answer says nothing. */
final class SideCall implements EnginePool.Waiter, EngineConnection.Call {
    private final Engines engines;
    private final byte[] request;
    private Runnable written;

    private SideCall(Engines engines, byte[] request, Runnable written) {
        this.engines = engines;
        this.request = request;
        this.written = written;
    }

    /** {@code written} runs once: when the call has left whole, or cannot. */
    static void make(Engines engines, EnginePool pool, byte[] request, Runnable written) {
        engines.sideCalls(1);
        pool.acquire(new SideCall(engines, request, written));
    }

    private void told() {
        if (written != null) {
            Runnable task = written;
            written = null;
            engines.sideCalls(-1);
            task.run();
        }
    }

    @Override
    public void up(EngineConnection connection) {
        connection.call(request, Attempt.SILENT, this);
    }

    /** Nobody is there to be told; an engine drops what it is not asked for. */
    @Override
    public void down(EnginePool.Down how, String why) {
        told();
    }

    @Override
    public void written() {
        told();
    }

    @Override
    public void answered(Response response) {
        told();
    }

    @Override
    public void failed(EngineConnection.Failure how, String why, boolean maybeSent) {
        told();
    }
}
