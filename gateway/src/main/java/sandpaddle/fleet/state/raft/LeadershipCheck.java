package sandpaddle.fleet.state.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Confirms that this node is still the leader, by a round of responses from a majority (read index, Ongaro's thesis,
 * 6.4). Each voter that responds has not voted in a later term before its response, and it received the query after the
 * caller's request; a later leader needs the vote of one of them; so none was elected before the request. MicroRaft's
 * leader lease would prove less: it starts when responses arrive instead of when the query was sent, and a leadership
 * transfer does not wait for its end.
 *
 * <p>MicroRaft counts a query that is made while a round is running as part of that round, whose responses may be older
 * than the query. So one round is running at a time, and later callers wait for the next. Owned by the
 * consensus thread.
 */
public final class LeadershipCheck {
    /** Max number of callers that wait for the next round; further ones get false. */
    public static final int MAX_WAITING = 10_000;

    private List<Consumer<Boolean>> currentRound = new ArrayList<>();
    private List<Consumer<Boolean>> nextRound = new ArrayList<>();
    private boolean isRunning;

    /**
     * Requests a confirmation in the next round.
     *
     * @param incarnation the running Raft incarnation
     * @param leads called once with whether a majority confirmed the leadership
     */
    public void confirm(RaftIncarnation incarnation, Consumer<Boolean> leads) {
        if (!incarnation.isLeader() || nextRound.size() >= MAX_WAITING) {
            leads.accept(false);
            return;
        }
        nextRound.add(leads);
        startRound(incarnation);
    }

    private void startRound(RaftIncarnation incarnation) {
        if (isRunning || nextRound.isEmpty()) {
            return;
        }
        isRunning = true;
        currentRound = nextRound;
        nextRound = new ArrayList<>();
        List<Consumer<Boolean>> round = currentRound;
        incarnation.queryMajority((result, failure) -> {
            if (round == currentRound) {
                finishRound(failure == null);
                startRound(incarnation);
            }
        });
    }

    private void finishRound(boolean leads) {
        List<Consumer<Boolean>> round = currentRound;
        currentRound = new ArrayList<>();
        isRunning = false;
        round.forEach(caller -> caller.accept(leads));
    }

    /** Answers all callers with false, since the incarnation has ended. */
    public void failAll() {
        List<Consumer<Boolean>> all = new ArrayList<>(currentRound);
        all.addAll(nextRound);
        currentRound = new ArrayList<>();
        nextRound = new ArrayList<>();
        isRunning = false;
        all.forEach(caller -> caller.accept(false));
    }
}
