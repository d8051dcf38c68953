package sandpaddle.fleet.limit.table;

/**
 * The outcome of a {@link LimitCommand}, the same at every voter, including the text of the reason.
 *
 * @param applied number of changes that were applied
 * @param refused number of changes that were refused
 * @param reason why the first one was refused; empty if none was
 * @param minAmount the smallest amount that would have been accepted, if an amount was too low; else -1
 */
public record LimitCommandOutcome(int applied, int refused, String reason, long minAmount) {
    private static final long NO_MIN_AMOUNT = -1;

    static LimitCommandOutcome done() {
        return new LimitCommandOutcome(1, 0, "", NO_MIN_AMOUNT);
    }

    static LimitCommandOutcome refused(String reason) {
        return new LimitCommandOutcome(0, 1, reason, NO_MIN_AMOUNT);
    }

    static LimitCommandOutcome amountTooLow(String reason, long minAmount) {
        return new LimitCommandOutcome(0, 1, reason, minAmount);
    }

    static LimitCommandOutcome ofChanges(int applied, int refused, String reason) {
        return new LimitCommandOutcome(applied, refused, reason, NO_MIN_AMOUNT);
    }

    /** Whether nothing of the command was refused. */
    public boolean isAccepted() {
        return refused == 0;
    }
}
