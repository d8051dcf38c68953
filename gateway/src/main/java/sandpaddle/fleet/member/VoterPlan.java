package sandpaddle.fleet.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Plans which members vote: an odd number, spread over zones as evenly as the live members allow, with as few changes
 * as possible. The leader requests the next change and commits it before it requests another, as Raft changes its
 * membership by one server at a time (Ongaro's thesis, 4.1 to 4.3). A voter is replaced if it was unresponsive for
 * long or is no member any more; a live one moves only if its zone has two voters more than another could have. No
 * change is planned that leaves fewer live voters than a majority. Cost: O(members log members). Stateless and
 * thread-safe.
 */
public final class VoterPlan {
    /**
     * Settings of the plan.
     *
     * @param voterCount 3 or 5
     * @param replaceAfterUs a voter that was unresponsive for this long is replaced
     * @param minUptimeUs a member that was up for less does not become a voter
     * @param minChangeIntervalUs interval between two changes, so that a flapping zone does not move voters back and
     *     forth; a change that restores an odd number does not wait
     */
    public record Settings(int voterCount, long replaceAfterUs, long minUptimeUs, long minChangeIntervalUs) {
        /** Checks the values. */
        public Settings {
            if (voterCount != 3 && voterCount != 5) {
                throw new IllegalArgumentException("voters is " + voterCount + ", not 3 or 5");
            }
            if (replaceAfterUs < 1 || minUptimeUs < 0 || minChangeIntervalUs < 0) {
                throw new IllegalArgumentException("times of the voter plan (us): replace after " + replaceAfterUs
                        + ", min uptime " + minUptimeUs + ", min change interval " + minChangeIntervalUs);
            }
        }
    }

    /**
     * When a member was seen; monotonic microseconds.
     *
     * @param lastSeenUs when it was seen last
     * @param continuousSinceUs since when it was seen without interruption
     */
    public record LastContact(long lastSeenUs, long continuousSinceUs) {}

    /**
     * A change of the voters; one that adds and removes is a replacement.
     *
     * @param add name of the voter to add, if any
     * @param remove name of the voter to remove, if any
     */
    public record Change(Optional<String> add, Optional<String> remove) {
        /** The voters after the change; the remaining ones keep their order. */
        public List<String> applyTo(List<String> voters) {
            List<String> after = new ArrayList<>(voters);
            remove.ifPresent(after::remove);
            add.ifPresent(after::add);
            return after;
        }
    }

    /**
     * The leader's view of the fleet.
     *
     * @param roster the members
     * @param voters the current voters
     * @param leader name of the leader
     * @param lastContacts last contact by member name
     * @param observingSinceUs when the leader began to observe; silence before that does not count
     * @param lastChangeUs when the voters changed last
     */
    public record ClusterState(
            Roster roster,
            List<String> voters,
            String leader,
            Map<String, LastContact> lastContacts,
            long observingSinceUs,
            long lastChangeUs) {}

    private final Settings settings;

    /** Creates a plan with these settings. */
    public VoterPlan(Settings settings) {
        this.settings = settings;
    }

    /** The voters of a new fleet: an odd number, chosen zone by zone, so that all gateways choose the same. */
    public static List<String> initialVoters(Roster roster, int max) {
        int odd = Math.min(max, roster.size() % 2 == 0 ? roster.size() - 1 : roster.size());
        List<String> voters = new ArrayList<>();
        for (int position = 0; voters.size() < odd; position++) {
            for (String zone : roster.zones()) {
                List<Member> members = roster.inZone(zone);
                if (position < members.size() && voters.size() < odd) {
                    voters.add(members.get(position).name());
                }
            }
        }
        return voters;
    }

    /** The next change, if one is due. */
    public Optional<Change> nextChange(ClusterState state, long nowUs) {
        return new Decision(state, nowUs).nextChange().filter(change -> isSafe(state, nowUs, change));
    }

    /**
     * Whether a majority of the voters is live before and after the change, so that it and the following one can be
     * committed.
     */
    private boolean isSafe(ClusterState state, long nowUs, Change change) {
        List<String> after = change.applyTo(state.voters());
        return count(state.voters(), voter -> isLive(state, nowUs, voter))
                        > state.voters().size() / 2
                && count(after, voter -> isLive(state, nowUs, voter)) > after.size() / 2;
    }

    private static int count(Collection<String> names, Predicate<String> condition) {
        return (int) names.stream().filter(condition).count();
    }

    private boolean isLive(ClusterState state, long nowUs, String name) {
        return name.equals(state.leader()) || !isUnresponsive(state, nowUs, name, settings.replaceAfterUs() / 4);
    }

    private static boolean isUnresponsive(ClusterState state, long nowUs, String name, long forUs) {
        LastContact contact = state.lastContacts().get(name);
        long last =
                contact == null ? state.observingSinceUs() : Math.max(contact.lastSeenUs(), state.observingSinceUs());
        return nowUs - last >= forUs;
    }

    /** The decision for one cluster state. */
    private final class Decision {
        private final ClusterState state;
        private final long now;
        private final List<Member> candidates = new ArrayList<>(); // live, stable and not voting
        private final List<String> lostVoters = new ArrayList<>(); // removed members and unresponsive voters
        private final Map<String, Integer> votersPerZone = new TreeMap<>(); // remaining voters

        Decision(ClusterState state, long nowUs) {
            this.state = state;
            this.now = nowUs;
            for (Member member : state.roster().members()) {
                LastContact contact = state.lastContacts().get(member.name());
                if (!state.voters().contains(member.name())
                        && contact != null
                        && isLive(state, nowUs, member.name())
                        && nowUs - contact.continuousSinceUs() >= settings.minUptimeUs()) {
                    candidates.add(member);
                }
            }
            for (String voter : new TreeSet<>(state.voters())) {
                if (!voter.equals(state.leader())
                        && (!state.roster().contains(voter)
                                || isUnresponsive(state, nowUs, voter, settings.replaceAfterUs()))) {
                    lostVoters.add(voter);
                } else {
                    state.roster()
                            .member(voter)
                            .ifPresent(member -> votersPerZone.merge(member.zone(), 1, Integer::sum));
                }
            }
            lostVoters.sort(
                    Comparator.comparing((String voter) -> state.roster().contains(voter))); // removed members first
        }

        Optional<Change> nextChange() {
            int size = state.voters().size();
            int target = targetCount();
            boolean odd = size % 2 == 1;
            if (odd && now - state.lastChangeUs() < settings.minChangeIntervalUs()) {
                return Optional.empty();
            }
            if (size > target) {
                return remove(lostVoters.isEmpty() ? voterOfLargestZone() : Optional.of(lostVoters.get(0)));
            }
            if (size < target) {
                return candidateOfSmallestZone()
                        .map(member -> new Change(Optional.of(member.name()), Optional.empty()));
            }
            return lostVoters.isEmpty()
                    ? rebalance()
                    : candidateOfSmallestZone()
                            .map(member -> new Change(Optional.of(member.name()), Optional.of(lostVoters.get(0))));
        }

        private Optional<Change> remove(Optional<String> voter) {
            return voter.map(v -> new Change(Optional.empty(), Optional.of(v)));
        }

        /**
         * The number of voters to have: odd, and as many as possible. A single lost voter without a replacement
         * stays: it may return, and three or five voters of which one has failed tolerate as many further failures as
         * one or three voters.
         */
        private int targetCount() {
            int size = state.voters().size();
            int electable = size - lostVoters.size() + candidates.size();
            boolean keepsLostVoter =
                    size % 2 == 1 && electable == size - 1 && state.roster().size() >= size;
            int odd = electable % 2 == 0 ? electable - 1 : electable;
            return Math.min(settings.voterCount(), keepsLostVoter ? size : odd);
        }

        /** The candidate of the zone with the fewest voters; the first by zone and name. */
        private Optional<Member> candidateOfSmallestZone() {
            return candidates.stream()
                    .min(Comparator.comparingInt((Member member) -> votersPerZone.getOrDefault(member.zone(), 0))
                            .thenComparing(Member::zone)
                            .thenComparing(Member::name));
        }

        /** A voter of the zone with the most voters, never the leader, whose removal would cause an election. */
        private Optional<String> voterOfLargestZone() {
            return state.voters().stream()
                    .filter(voter ->
                            !voter.equals(state.leader()) && state.roster().contains(voter))
                    .max(Comparator.comparingInt((String voter) -> votersPerZone.get(zoneOf(voter)))
                            .thenComparing(Comparator.naturalOrder()));
        }

        private String zoneOf(String voter) {
            return state.roster().member(voter).orElseThrow().zone();
        }

        /** Moves a live voter only if that makes the zones more even by a whole voter. */
        private Optional<Change> rebalance() {
            Map<String, Integer> counts = new HashMap<>(votersPerZone);
            return candidateOfSmallestZone()
                    .flatMap(to -> voterOfLargestZone()
                            .filter(voter -> counts.get(zoneOf(voter)) - counts.getOrDefault(to.zone(), 0) >= 2)
                            .map(voter -> new Change(Optional.of(to.name()), Optional.of(voter))));
        }
    }
}
