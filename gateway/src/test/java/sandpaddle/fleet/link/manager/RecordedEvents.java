package sandpaddle.fleet.link.manager;

import java.util.ArrayList;
import java.util.List;
import sandpaddle.fleet.link.Links;
import sandpaddle.fleet.link.MessageKind;
import sandpaddle.fleet.member.Member;

/** A listener that records its events as texts. */
final class RecordedEvents implements Links.Listener {
    final List<String> events = new ArrayList<>();
    final List<String> lossDetails = new ArrayList<>();
    final List<Integer> messages = new ArrayList<>();
    long roundTripUs;

    @Override
    public void messageReceived(String from, MessageKind kind, byte[] payload) {
        messages.add((payload[0] & 0xff) << 8 | payload[1] & 0xff);
    }

    @Override
    public void peerUp(Member peer, long incarnation) {
        events.add("up " + peer.name());
    }

    @Override
    public void peerDown(String peer, Links.LossReason reason, String detail) {
        events.add("down " + peer + " " + reason.logName());
        lossDetails.add(detail);
    }

    @Override
    public void roundTripMeasured(String peer, long measuredUs) {
        roundTripUs = measuredUs;
    }

    static byte[] message(int number) {
        return new byte[] {(byte) (number >> 8), (byte) number};
    }
}
