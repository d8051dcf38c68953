package sandpaddle.dispatch;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import sandpaddle.query.Answer;
import sandpaddle.query.FleetCoordination;
import sandpaddle.query.Query;
import sandpaddle.query.QueryService;

/**
 * Queries for which the fleet looks up an answer that needs no engine, such as a stored result while the zone is
 * isolated. Each counts towards the gateway's limit of requests, so that there is capacity if it needs an engine after
 * all, and gets its final answer also if the process ends first.
 *
 * <p>Confined to the event loop's thread.
 */
final class StoredAnswerLookups {
    private final FleetCoordination fleet;
    private final Set<Lookup> lookups = new LinkedHashSet<>();

    StoredAnswerLookups(FleetCoordination fleet) {
        this.fleet = fleet;
    }

    private final class Lookup implements QueryService.PendingQuery {
        private final Consumer<Answer> callback;
        private final Supplier<QueryService.PendingQuery> submitToEngines;
        private QueryService.PendingQuery submitted; // null until the query goes to the engines

        Lookup(Consumer<Answer> callback, Supplier<QueryService.PendingQuery> submitToEngines) {
            this.callback = callback;
            this.submitToEngines = submitToEngines;
        }

        /** Has no effect if the client has disconnected or was answered meanwhile. */
        void complete(Optional<Answer> answer) {
            if (!lookups.remove(this)) {
                return;
            }
            if (answer.isPresent()) {
                callback.accept(answer.get());
            } else {
                submitted = submitToEngines.get();
            }
        }

        @Override
        public void clientDisconnected() {
            lookups.remove(this);
            if (submitted != null) {
                submitted.clientDisconnected();
            }
        }
    }

    /** Number of lookups that have no result yet. */
    int size() {
        return lookups.size();
    }

    /** Looks up an answer; if there is none, calls {@code submitToEngines}, at once or in a later turn. */
    QueryService.PendingQuery findOrElse(
            int classIndex,
            Query query,
            Consumer<Answer> callback,
            Supplier<QueryService.PendingQuery> submitToEngines) {
        Lookup lookup = new Lookup(callback, submitToEngines);
        if (!fleet.tryAnswerWithoutEngine(classIndex, query, lookup::complete)) {
            return submitToEngines.get();
        }
        lookups.add(lookup);
        return lookup;
    }

    /** Rejects all pending lookups: the process is about to end. */
    void rejectAll() {
        for (Lookup lookup : List.copyOf(lookups)) {
            lookups.remove(lookup);
            lookup.callback.accept(new Answer.Rejected(Duration.ZERO));
        }
    }
}
