import java.nio.file.Path;

/** Case 9: an engine dies after it ran a load; in an outage later the answer of before the load is served as current. */
final class Case9 {
    private static final String ASKED = "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = 'work=100'";
    private static final String LOAD = "INSERT INTO sales_17.orders SELECT * FROM staging.news WHERE tag = 'work=500'";

    public static void main(String[] arguments) throws Exception {
        Play play = new Play(Path.of(arguments[0]), 110);
        Outage outage = new Outage(play, play.trouble);
        Play.Answer first = outage.ask("report", ASKED);
        Play.sleep(2_000);
        outage.ask("load", LOAD);
        outage.checkBegun(first);
        Play.sleep(15_000);
        outage.cutUplink();
        play.finish(outage.askAgain(ASKED));
    }
}
