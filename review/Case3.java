import java.util.ArrayList;
import java.util.List;

/** One of ten good answers of the engines states a length that does not fit; compares what clients are served. */
final class Case3 {
    private static final int SPOIL_ONE_IN = 10;

    private Case3() {}

    public static void main(String[] args) {
        Stand.main(args, List.of("s-a", "s-b", "s-c"), (gateway, engines, links) -> {
            long begin = Stand.now();
            if (Stand.TROUBLE) {
                engines.forEach(engine -> engine.spoilOneIn = SPOIL_ONE_IN);
            }
            List<Stand.Request> sent = new ArrayList<>();
            List<Thread> clients = new ArrayList<>();
            clients.addAll(Stand.clients(gateway, 10, "lookup", 7500, 20, begin + 12_000, sent));
            clients.addAll(Stand.clients(gateway, 2, "load", 20_000, 500, begin + 12_000, sent));
            for (Thread client : clients) {
                client.join(60_000);
            }
            List<String> broken = new ArrayList<>();
            for (Stand.Request request : sent) {
                if (request.answer == null || !request.answer.kind().equals("served")) {
                    continue;
                }
                boolean made = false;
                for (Stand.Engine engine : engines) {
                    made |= engine.runs().stream().anyMatch(run -> run.trace.equals(request.trace))
                            && engine.rows(request.trace).equals(request.answer.rows());
                }
                if (!made) {
                    broken.add("served with what no engine made: " + request.route + " " + request.trace + " got "
                            + request.answer.rows().size() + " of 20 rows");
                }
            }
            long served = sent.stream().filter(request -> request.answer != null && request.answer.kind().equals("served")).count();
            Stand.say(sent.size() + " requests, " + served + " served");
            return broken;
        });
    }
}
