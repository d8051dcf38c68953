package sandpaddle.fleet.limit.allot;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sandpaddle.fleet.limit.LimitSettings;
import sandpaddle.fleet.limit.LimitSpec;
import sandpaddle.fleet.limit.table.MemberRow;
import sandpaddle.fleet.limit.table.RightsTable;
import sandpaddle.fleet.limit.table.Slot;
import sandpaddle.fleet.limit.table.SlotName;
import sandpaddle.fleet.limit.wire.Grant;
import sandpaddle.fleet.limit.wire.SlotGrant;

/** What to tell gateways now: rights not acknowledged, limits that they do not know, beats that are vouched for. */
final class GrantBuilder {
    private final LimitSettings settings;
    private final RightsTable table;

    GrantBuilder(LimitSettings settings, RightsTable table) {
        this.settings = settings;
        this.table = table;
    }

    List<Grant> grants(long now, Map<String, GatewayState> peers, Map<String, LimitAllocator> desks) {
        Map<String, List<SlotGrant>> news = new TreeMap<>();
        desks.forEach((limit, desk) -> {
            var row = table.limits().get(limit);
            if (row != null && !desk.quiet) {
                desk.quiet = true;
                desk.asks.forEach((name, ask) -> {
                    if (ask.open(row.slot(name))) {
                        desk.quiet = false;
                        one(now, limit, name, ask, row.slot(name), news, peers);
                    }
                });
            }
        });
        List<Grant> grants = new ArrayList<>();
        peers.forEach((name, peer) -> {
            MemberRow row = table.members().get(name);
            if (row == null || peer.incarnation == 0 || peer.incarnation != row.incarnation()) {
                return;
            }
            long confirmed = peer.confirmed(row);
            boolean stale = peer.session != row.session() || peer.epoch != table.epoch();
            List<SlotGrant> given = news.getOrDefault(name, List.of());
            if (!given.isEmpty() || confirmed > peer.sentConfirmed
                    || stale && now - peer.grantAt >= settings.repeat()) {
                peer.sentConfirmed = confirmed;
                peer.grantAt = now;
                boolean whole = peer.epoch != table.epoch();
                List<LimitSpec> limits = whole ? List.copyOf(table.specs().values()) : List.of();
                grants.add(new Grant(name, row.incarnation(), row.session(), confirmed, table.epoch(), whole, limits,
                    given));
            }
        });
        return grants;
    }

    private void one(long now, String limit, SlotName name, SlotState ask, Slot slot,
            Map<String, List<SlotGrant>> news, Map<String, GatewayState> peers) {
        GatewayState peer = peers.get(name.member());
        if (peer == null || peer.incarnation == 0) {
            return; // nobody to tell
        }
        SlotGrant given = ask.toSend(now, limit, name.sub(), slot, settings);
        List<SlotGrant> all = news.computeIfAbsent(name.member(), m -> new ArrayList<>());
        if (given != null && all.size() < Grant.MAX_GIVEN) {
            all.add(given);
            ask.sent(now, given);
        }
    }
}
