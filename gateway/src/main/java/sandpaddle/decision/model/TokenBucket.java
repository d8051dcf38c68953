package sandpaddle.decision.model;

/**
 * Token bucket that limits the rate of work sent, in microseconds of work. A send may cost more than the balance; the
 * balance is then negative (a debt), and the next send must wait until refills have made up for it.
 */
public final class TokenBucket {
    private double balanceUs;
    private long refilledAtUs;

    /** Resets the bucket to a negative balance, given as a debt (us of work). */
    public void reset(long nowUs, double debtUs) {
        balanceUs = -debtUs;
        refilledAtUs = nowUs;
    }

    /** Subtracts the cost of a send (us of work) from the balance. */
    public void spend(double workUs) {
        balanceUs -= workUs;
    }

    /**
     * Refills the bucket for the time since the last refill and returns the balance (us of work).
     *
     * @param rate refill rate, us of work per us
     * @param capacityUs greatest balance (us of work)
     */
    public double refill(long nowUs, double rate, double capacityUs) {
        balanceUs = Math.min(balanceUs + rate * (nowUs - refilledAtUs), capacityUs);
        refilledAtUs = nowUs;
        return balanceUs;
    }
}
