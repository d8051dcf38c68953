package sandpaddle.decide;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The body of a message between gateways: the sender's rate of requests, its own threads by engine, and load
 * reports that it knows of. Engines are named by a hash of their id; what does not fit is left out from the end.
 */
record News(double rate, List<Own> own, List<Heard> heard) {
    static final int MOST_BYTES = 256; // the interface's limit
    private static final int COUNT_AT = 1 + Float.BYTES; // where the number of own engines stands
    private static final double AGE_UNIT_US = 25_000; // us: ages are told in one byte
    private static final double LOG_UNIT = 32; // steps of a told figure for each factor e, in one byte

    /** The sender's threads on an engine, by class. */
    record Own(int engine, double[] threads) { }

    /** A load report and its age. */
    record Heard(int engine, long ageUs, double[] load) {
        static Heard of(State.Engine e, long now) {
            return new Heard(e.id.hashCode(), now - e.reportAt, e.report);
        }
    }

    byte[] encode(int classes) {
        ByteBuffer b = ByteBuffer.allocate(MOST_BYTES);
        b.put((byte) classes).putFloat((float) rate).put((byte) 0);
        int count = 0;
        for (Own o : own) {
            if (count < Byte.MAX_VALUE && b.remaining() >= Integer.BYTES + classes) {
                b.putInt(o.engine);
                for (double x : o.threads) {
                    b.put((byte) Math.min(Byte.MAX_VALUE, x));
                }
                count++;
            }
        }
        b.put(COUNT_AT, (byte) count);
        for (Heard h : heard) {
            if (b.remaining() > Integer.BYTES + h.load.length) {
                b.putInt(h.engine).put((byte) Math.min(255, h.ageUs / AGE_UNIT_US));
                for (double x : h.load) {
                    b.put((byte) Math.min(255, Math.round(LOG_UNIT * Math.log1p(x))));
                }
            }
        }
        return Arrays.copyOf(b.array(), b.position());
    }

    /** The message in a body; null where it is not one. */
    static News decode(byte[] body, int classes, int fields) {
        ByteBuffer b = ByteBuffer.wrap(body);
        int own = body.length <= COUNT_AT || body[0] != classes ? -1 : body[COUNT_AT] * (Integer.BYTES + classes);
        int rest = body.length - COUNT_AT - 1 - own;
        if (own < 0 || rest < 0 || rest % (Integer.BYTES + 1 + fields) != 0) {
            return null;
        }
        News news = new News(b.position(1).getFloat(), new ArrayList<>(), new ArrayList<>());
        b.get();
        while (b.remaining() > rest) {
            Own o = new Own(b.getInt(), new double[classes]);
            for (int c = 0; c < classes; c++) {
                o.threads[c] = b.get();
            }
            news.own.add(o);
        }
        while (b.hasRemaining()) {
            Heard h = new Heard(b.getInt(), (long) ((b.get() & 0xFF) * AGE_UNIT_US), new double[fields]);
            for (int i = 0; i < fields; i++) {
                h.load[i] = Math.expm1((b.get() & 0xFF) / LOG_UNIT);
            }
            news.heard.add(h);
        }
        return news;
    }
}
