package sandpaddle.lab;

/** A gateway of the fleet under test and what belongs to it, whether its process runs or not. */
final class FleetMember {
    final FleetSite.Member member;
    final int index;
    final int port;
    final StandInFeed feed;
    volatile FleetProcess process; // null: not running
    int starts;

    FleetMember(FleetSite.Member member, int index, int port, StandInFeed feed) {
        this.member = member;
        this.index = index;
        this.port = port;
        this.feed = feed;
    }

    String name() {
        return member.name();
    }

    /** The run is broken off: nothing of it stays behind. */
    void abandon() {
        FleetProcess p = process;
        if (p != null) {
            p.kill();
        }
    }
}
