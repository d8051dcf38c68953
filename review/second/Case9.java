import java.nio.file.Path;

/** Case 9: in an outage a stored answer that was read from two groups of tables outlives a load of the second one. */
final class Case9 {
    private static final String ASKED = "SELECT o.day, count(*), max(i.note) FROM sales_17.orders o"
            + " JOIN stock_9.items i ON i.id = o.item WHERE o.tag = 'work=100' GROUP BY o.day";
    private static final String LOAD = "INSERT INTO stock_9.items SELECT * FROM staging.news WHERE tag = 'work=500'";

    public static void main(String[] arguments) throws Exception {
        Play play = new Play(Path.of(arguments[0]), 110);
        Outage outage = new Outage(play, false);
        Play.Answer first = outage.ask("report", ASKED);
        Play.sleep(2_000);
        Play.Answer load = outage.ask("load", LOAD);
        outage.checkBegun(first);
        if (!load.isServed()) {
            play.line("the load was not served");
            play.finish(2);
        }
        Play.sleep(15_000);
        if (play.trouble) {
            outage.cutUplink();
        }
        play.finish(outage.askAgain(ASKED));
    }
}
