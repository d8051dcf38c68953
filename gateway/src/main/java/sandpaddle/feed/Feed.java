package sandpaddle.feed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.tinylog.Logger;
import sandpaddle.config.FieldException;
import sandpaddle.config.Json;
import sandpaddle.config.ListEvent;
import sandpaddle.config.Names;
import sandpaddle.net.Connection;
import sandpaddle.net.Loop;
import sandpaddle.net.Timers;

/**
 * Follows the control feed: every event once and in order, over as many connections as it takes. A connection
 * that is silent, or that says what cannot be understood, is replaced by one from the last number on.
 */
public final class Feed {
    /** A line comes every second; what a feed that stands still had to tell counts as told soon after. */
    private static final Duration SILENCE = Duration.ofMillis(1600);
    /** From its first byte: a list of thousands of engines may come slowly, one that never ends is none. */
    private static final Duration WHOLE_LINE = Duration.ofSeconds(5);
    private static final Duration CONNECT = Duration.ofMillis(800);
    private static final Duration AGAIN_FIRST = Duration.ofMillis(10);
    private static final Duration AGAIN_MOST = Duration.ofMillis(400);

    private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

    private final Loop loop;
    private final Names names;
    private final Consumer<ListEvent> told;
    private InetSocketAddress address;
    private long last;
    private long doubted; // the last event that was asked for once more, since part of it cannot be used
    private Link link;
    private Link former; // at the address before: heard until a while after the new one has spoken
    private Timers.Timer restart;
    private Duration again = AGAIN_FIRST;

    public Feed(Loop loop, InetSocketAddress address, Names names, long last, Consumer<ListEvent> told) {
        this.loop = loop;
        this.address = address;
        this.names = names;
        this.last = last;
        this.told = told;
    }

    public void start() {
        link = new Link();
        link.open();
    }

    /**
     * The feed has another address: it is asked there at once. Guards against missing what the old one still
     * tells: its connection stays until {@link #SILENCE} after the new one's first line, and an event that both tell
     * is applied once.
     */
    public void moveTo(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        Logger.info("control feed: now at {}, from {}", next, last);
        address = next;
        again = AGAIN_FIRST;
        if (restart != null) {
            restart.cancel();
            restart = null;
        }
        leaveFormer();
        former = link.over ? null : link;
        start();
    }

    /** What the former feed has told by now is heard first. */
    private void leaveFormer() {
        Link left = former;
        if (left != null) {
            left.look();
            former = null;
            left.leave();
        }
    }

    /**
     * Hears what has come since the turn began: in a turn that takes long, so that no request is sent after the grace
     * of a drain that is told meanwhile.
     */
    public void look() {
        if (former != null) {
            former.look();
        }
        link.look();
    }

    /** Applies an event that is the next one, or that stands for all before it; an old one changes nothing. */
    public boolean apply(ListEvent event) {
        if (event.number() > last + 1 && !event.whole()) {
            return false;
        }
        if (event.number() > last) {
            last = event.number();
            told.accept(event);
        }
        return true;
    }

    private void restart(String why) {
        Logger.info("control feed: {}; once more from {}", why, last);
        restart = loop.after(again, this::start);
        Duration doubled = again.multipliedBy(2);
        again = doubled.compareTo(AGAIN_MOST) < 0 ? doubled : AGAIN_MOST;
    }

    /** One connection to the feed. */
    private final class Link implements Connection.Owner {
        private final LineReader lines = new LineReader();
        private Connection connection;
        private Timers.Timer bound;
        private Instant lineSince; // when the first byte of a line that is not whole came, or null
        private boolean spoke, over;

        void open() {
            bound = loop.after(CONNECT, () -> end("no connection"));
            try {
                connection = Connection.open(loop, Loop.Rank.LIST, address, this);
            } catch (IOException e) {
                end(e.toString());
            }
        }

        @Override
        public void connected() {
            connection.write(("SUB " + last + "\n").getBytes(StandardCharsets.US_ASCII));
            listen();
        }

        private void listen() {
            bound.cancel();
            bound = loop.after(SILENCE, () -> end("silent"));
        }

        void look() {
            if (!over && connection != null) {
                connection.look();
            }
        }

        /** Bytes are no silence, though no line is whole yet; a line that has begun must end in its time. */
        private void progressed() {
            lineSince = !lines.isWithinLine() ? null : lineSince == null ? loop.now() : lineSince;
            if (lineSince != null && !loop.now().isBefore(lineSince.plus(WHOLE_LINE))) {
                end("a line that does not end");
            } else {
                listen();
            }
        }

        @Override
        public void received(ByteBuffer bytes) {
            try {
                for (byte[] line = lines.next(bytes); line != null && !over; line = lines.next(bytes)) {
                    lineSince = null;
                    line(line);
                }
                if (lines.isTooLong()) {
                    end("line too long");
                } else if (!over) {
                    progressed();
                }
            } catch (IOException | FieldException e) {
                end("malformed line: " + e.getMessage());
            }
        }

        private void line(byte[] line) throws IOException, FieldException {
            if (this == link && !spoke && former != null) {
                Link left = former;
                loop.after(SILENCE, () -> {
                    if (left == former) {
                        leaveFormer();
                    }
                });
            }
            spoke = true;
            String text = new String(line, StandardCharsets.UTF_8).strip();
            if (text.isEmpty()) {
                return;
            }
            if (NUMBER.matcher(text).matches()) {
                if (Long.parseLong(text) > last) {
                    end("events up to " + text + " were missed");
                } else {
                    again = AGAIN_FIRST;
                }
                return;
            }
            ListEvent event = ListEvent.read(Json.object(line, ""), names);
            if (!event.faults().isEmpty() && event.number() > doubted) {
                doubted = event.number(); // spoilt on its way, or so for good: then it comes again as it is
                end("event " + event.number() + ": " + event.faults().get(0));
            } else if (apply(event)) {
                again = AGAIN_FIRST;
            } else {
                end("event " + event.number() + " came too early");
            }
        }

        @Override
        public void closed(Exception cause) {
            end(cause == null ? "closed" : cause.toString());
        }

        private void end(String why) {
            if (over) {
                return;
            }
            leave();
            if (this == link) {
                restart(why);
            }
        }

        private void leave() {
            over = true;
            bound.cancel();
            if (connection != null) {
                connection.close();
            }
        }
    }
}
