import java.util.ArrayList;
import java.util.List;

/** A bad client sends one message whose figure is not a number; usual clients are open beside it. */
final class Case1 {
    private static final int DIGITS = 60_000; // of the figure; the message stays under 64 KB

    private Case1() {}

    public static void main(String[] args) {
        Stand.main(args, List.of("s-a", "s-b", "s-c"), (gateway, engines, links) -> {
            long begin = Stand.now();
            List<Stand.Request> sent = new ArrayList<>();
            List<Thread> clients = new ArrayList<>();
            clients.addAll(Stand.clients(gateway, 10, "lookup", 7500, 200, begin + 9000, sent));
            clients.addAll(Stand.clients(gateway, 2, "load", 20_000, 1500, begin + 9000, sent));
            Stand.sleepUntil(begin + 4000);
            if (Stand.TROUBLE) {
                Stand.spawn("bad client", () -> {
                    try (Stand.Client bad = new Stand.Client(gateway.port, 30_000)) {
                        String sql = "/* route=lookup,trace=00000000000bad01,patience=5000,weight=" + "1".repeat(DIGITS)
                                + "x */ SELECT day FROM sales_17.orders";
                        Stand.note("bad client sends a weight of " + DIGITS + " digits and a letter");
                        bad.out.write(Stand.Client.command(sql));
                        bad.out.flush();
                        long sentMs = Stand.now();
                        Stand.Answer answer = bad.answer();
                        Stand.note("bad client got " + answer.kind() + " after " + (Stand.now() - sentMs) + " ms: "
                                + answer.text());
                    }
                });
            }
            for (Thread client : clients) {
                client.join(60_000);
            }
            long answered = sent.stream().filter(request -> request.answer != null).count();
            Stand.say(sent.size() + " requests of usual clients, " + answered + " answered");
            return Stand.lost(sent);
        });
    }
}
