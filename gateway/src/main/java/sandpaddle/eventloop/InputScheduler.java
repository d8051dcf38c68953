package sandpaddle.eventloop;

import java.time.Duration;
import java.time.Instant;

/**
 * Shares the turns of an event loop among the connections of clients, by what their input costs. Each connection has
 * an {@link Account} of its recent cost, in bytes of commands handled. Bytes that are only read cost a part of that,
 * and each command costs something beside its bytes. The time for a byte is bounded, so a limit on this cost is one
 * on time.
 *
 * <p>A connection within {@link #ALLOWANCE} is handled in the turn in which its input is ready, whatever the others
 * send, and before them. The others take turns: they share {@link #MAX_TURN_COST}, and who was handled least recently
 * is first. Of a connection without a share {@link #PROBE_BYTES} are read, so that its close is noticed where little
 * is before it. With n clients a turn costs at most {@code MAX_TURN_COST + n * ALLOWANCE}, one command of a client
 * beyond its allowance, and n small reads.
 *
 * <p>Confined to the event loop's thread.
 */
public final class InputScheduler {
    /** Cost of the input that all connections beyond their allowance have handled in one turn, in bytes. */
    static final int MAX_TURN_COST = 256 * 1024;
    /** Recent cost of a connection up to which its input is not deferred, in bytes. */
    static final int ALLOWANCE = 8 * 1024;
    /** Cost of a command beside its bytes: its answer is one write. */
    public static final int COMMAND_COST = 512;

    /** Reading a byte costs one in this many. */
    private static final int READ_COST_DIVISOR = 8;

    /** By how much a recent cost decreases in a millisecond, in bytes. */
    private static final long RECOVERY_PER_MS = 64;
    /** Largest recent cost, in bytes, so that input of long ago does not keep a connection behind the others. */
    private static final long MAX_RECENT_COST = 1024 * 1024;

    private static final long NS_PER_MS = 1_000_000;

    private static final int MAX_READ_BYTES = 16 * 1024;
    private static final int MIN_READ_BYTES = 2 * 1024;
    /** Bytes that one read takes from a connection without a share in the turn. */
    static final int PROBE_BYTES = 256;

    private Instant now;
    private long turn;
    private long turnCost;

    InputScheduler(Instant now) {
        this.now = now;
    }

    /** Begins a turn. */
    void beginTurn(Instant turnStartedAt) {
        now = turnStartedAt;
        turn++;
        turnCost = 0;
    }

    /** Opens the account of a new connection. */
    Account open() {
        return new Account();
    }

    /** What the input of one connection has cost lately. */
    public final class Account implements Comparable<Account> {
        private long recentCost;
        private Instant updatedAt = now;
        private long handledInTurn;

        private Account() {}

        private long recentCost() {
            long recovered = RECOVERY_PER_MS * Duration.between(updatedAt, now).toNanos() / NS_PER_MS;
            if (recovered > 0) { // else the time since counts in a later turn: turns may be shorter than one byte takes
                recentCost = Math.max(0, recentCost - recovered);
                updatedAt = now;
            }
            return recentCost;
        }

        /** Counts bytes that were read. */
        void chargeRead(int bytes) {
            charge(Math.max(1, bytes / READ_COST_DIVISOR));
        }

        /** Counts input that was handled, by its cost in bytes. */
        public void charge(int cost) {
            long before = recentCost();
            handledInTurn = mayRead() ? turn : handledInTurn;
            recentCost = Math.min(MAX_RECENT_COST, before + cost);
            if (before + cost > ALLOWANCE) {
                turnCost += cost;
            }
        }

        /** Whether more input of the connection may be read in this turn. */
        boolean mayRead() {
            return mayHandle(0);
        }

        /** Whether input of a certain cost, in bytes, may be handled in this turn. */
        public boolean mayHandle(int cost) {
            return recentCost() + cost < ALLOWANCE || turnCost < MAX_TURN_COST;
        }

        /** How many bytes one read may take: few of a connection within its allowance, hardly any without a share. */
        int maxReadBytes() {
            if (!mayRead()) {
                return PROBE_BYTES;
            }
            long left = ALLOWANCE - recentCost();
            return left <= 0 ? MAX_READ_BYTES : (int) Math.max(MIN_READ_BYTES, left);
        }

        private boolean isWithinAllowance() {
            return recentCost() < ALLOWANCE;
        }

        /** Those within their allowance first, by recent cost; the others by the turn that handled them last. */
        @Override
        public int compareTo(Account other) {
            boolean within = isWithinAllowance();
            if (within != other.isWithinAllowance()) {
                return within ? -1 : 1;
            }
            return within
                    ? Long.compare(recentCost(), other.recentCost())
                    : Long.compare(handledInTurn, other.handledInTurn);
        }
    }
}
