package sandpaddle.decision.loadview;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import sandpaddle.decision.model.Attempt;
import sandpaddle.decision.model.EngineState;
import sandpaddle.decision.model.EventContext;
import sandpaddle.decision.model.HealthScope;
import sandpaddle.decision.model.PendingRequest;
import sandpaddle.decision.model.RetainedLoad;
import sandpaddle.decision.model.ThreadUsage;

/** Tracks this gateway's attempts in flight and the threads that they use, per engine and on the fleet. */
public final class InFlightLoad {
    private final EventContext context;
    private final ThreadUsage fleetThreads;
    private final List<RetainedLoad> retained = new ArrayList<>();

    /** Creates a load without attempts, for a number of classes. */
    public InFlightLoad(EventContext context, int classes) {
        this.context = context;
        fleetThreads = new ThreadUsage(classes);
    }

    /** Adds an attempt that is sent, and its threads. */
    public void startAttempt(Attempt attempt) {
        PendingRequest request = attempt.request();
        for (HealthScope scope : attempt.engine().healthScopes(request.classIndex())) {
            scope.attemptStarted(attempt);
        }
        addThreads(attempt.engine(), request.classIndex(), request.threads());
    }

    /** Removes an attempt that ended; its threads still count until they are released. */
    public void endAttempt(Attempt attempt) {
        int classIndex = attempt.request().classIndex();
        for (HealthScope scope : attempt.engine().healthScopes(classIndex)) {
            scope.attemptEnded(attempt);
        }
    }

    /** Releases the threads of an attempt that ended. */
    public void releaseThreads(Attempt attempt) {
        PendingRequest request = attempt.request();
        addThreads(attempt.engine(), request.classIndex(), -request.threads());
    }

    /** Keeps counting the threads of an attempt that ended until a time (us). */
    public void retainThreads(Attempt attempt, long untilUs) {
        PendingRequest request = attempt.request();
        retained.add(new RetainedLoad(attempt.engine(), request.classIndex(), request.threads(), untilUs));
    }

    /** Releases the retained threads whose time has passed. */
    public void releaseExpired() {
        Iterator<RetainedLoad> loads = retained.iterator();
        while (loads.hasNext()) {
            RetainedLoad load = loads.next();
            if (load.untilUs() <= context.nowUs()) {
                addThreads(load.engine(), load.classIndex(), -load.threads());
                loads.remove();
            }
        }
    }

    /** Returns the threads used on the fleet. */
    public double fleetThreads() {
        return fleetThreads.total();
    }

    private void addThreads(EngineState engine, int classIndex, int threads) {
        engine.threads().add(classIndex, threads);
        fleetThreads.add(classIndex, threads);
    }
}
