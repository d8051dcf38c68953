package sandpaddle.fleet.limit.table;

/**
 * Names the owner of a slot.
 *
 * @param member the gateway
 * @param tenant a tenant of the gateway where a pool's budget is split; else empty
 */
public record SlotName(String member, String tenant) implements Comparable<SlotName> {
    @Override
    public int compareTo(SlotName that) {
        int byMember = member.compareTo(that.member);
        return byMember != 0 ? byMember : tenant.compareTo(that.tenant);
    }
}
