package sandpaddle.engineclient;

import java.util.ArrayList;
import java.util.List;
import sandpaddle.query.ResultSet;

/** Collects the pages of one result in their order. Accepts only complete rows, within bounds. */
final class ResultPages {
    private static final int MAX_PAGES = 64;
    private static final int MAX_BYTES = 64 * 1024; // the platform's limit on a result is 48,000 bytes

    private final List<byte[]> pages = new ArrayList<>();
    private int totalPages = 1; // stated by page 0
    private int bytes;

    /** Adds the page of that number; returns false and changes nothing if the response is not that page. */
    boolean add(Response response, int page) {
        int statedTotal = page == 0 ? response.number("result-pages", -1) : totalPages;
        boolean isThatPage =
                page == 0 ? statedTotal >= 1 && statedTotal <= MAX_PAGES : response.number("result-page", -1) == page;
        byte[] body = response.body();
        if (!isThatPage || bytes + body.length > MAX_BYTES || !ResultSet.hasCompleteRows(body)) {
            return false;
        }
        totalPages = statedTotal;
        bytes += body.length;
        pages.add(body);
        return true;
    }

    /**
     * Removes the last page, if there is one: bytes that were received behind it may belong to it.
     *
     * @return the number of the next page
     */
    int removeLast() {
        if (!pages.isEmpty()) {
            bytes -= pages.remove(pages.size() - 1).length;
        }
        return next();
    }

    /** The number of the next page. */
    int next() {
        return pages.size();
    }

    boolean isComplete() {
        return pages.size() == totalPages;
    }

    ResultSet rows() {
        return new ResultSet(List.copyOf(pages));
    }
}
