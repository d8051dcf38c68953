package sandpaddle.fleet.node;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** A thread of the fleet with a bounded queue and repeated tasks; a fault ends the task, not the thread. */
public final class TaskThread implements Executor, AutoCloseable {
    private static final int MAX_WAITING = 100_000;

    private final ScheduledThreadPoolExecutor pool;
    private final CountDownLatch begun = new CountDownLatch(1);

    /** Tasks wait for {@link #begin}: what they call may not be there before. */
    public TaskThread(String name) {
        pool = new ScheduledThreadPoolExecutor(1, task -> {
            Thread t = new Thread(task, name);
            t.setDaemon(true);
            return t;
        });
        pool.setRemoveOnCancelPolicy(true);
        pool.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        pool.execute(() -> {
            try {
                begun.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Everything that tasks call is there. */
    public void begin() {
        begun.countDown();
    }

    @Override
    public void execute(Runnable task) {
        if (pool.getQueue().size() > MAX_WAITING) {
            return; // as if it were lost on the way: all that comes here may be
        }
        try {
            pool.execute(() -> guarded(task));
        } catch (RejectedExecutionException e) {
            Logger.debug("fleet: a task came after the end");
        }
    }

    /** Runs a task again and again, so long after its last end. */
    public void every(long us, Runnable task) {
        pool.scheduleWithFixedDelay(() -> guarded(task), us, us, TimeUnit.MICROSECONDS);
    }

    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "fleet: a task failed");
        }
    }

    @Override
    public void close() {
        pool.shutdownNow();
    }
}
