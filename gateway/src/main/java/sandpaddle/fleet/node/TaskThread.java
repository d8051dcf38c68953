package sandpaddle.fleet.node;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * A thread that runs submitted and periodic tasks in order. Its queue is bounded. An exception of a task is logged and
 * does not end the thread.
 */
public final class TaskThread implements Executor, AutoCloseable {
    private static final int MAX_QUEUED_TASKS = 100_000;

    private final ScheduledThreadPoolExecutor executor;
    private final CountDownLatch started = new CountDownLatch(1);

    /**
     * Creates the thread. No task runs before {@link #start}, since the components that tasks call may not exist yet.
     *
     * @param name name of the thread
     */
    public TaskThread(String name) {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.execute(() -> {
            try {
                started.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Lets tasks run; called when all components exist. */
    public void start() {
        started.countDown();
    }

    /** Queues a task; drops it if the queue is full or the thread was closed. Thread-safe. */
    @Override
    public void execute(Runnable task) {
        if (executor.getQueue().size() > MAX_QUEUED_TASKS) {
            return; // like a lost message, which all callers tolerate
        }
        try {
            executor.execute(() -> runSafely(task));
        } catch (RejectedExecutionException e) {
            Logger.debug("fleet: dropped a task submitted after the thread was closed");
        }
    }

    /**
     * Runs a task repeatedly.
     *
     * @param delayUs delay (us) before the first run, and between the end of one run and the start of the next
     * @param task the task
     */
    public void scheduleEvery(long delayUs, Runnable task) {
        executor.scheduleWithFixedDelay(() -> runSafely(task), delayUs, delayUs, TimeUnit.MICROSECONDS);
    }

    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "fleet: uncaught exception in a task");
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
