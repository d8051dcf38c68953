package sandpaddle.fleet.outage.plan;

import sandpaddle.fleet.content.Candidate;

/**
 * A planned fetch of an answer.
 *
 * @param candidate answer to fetch
 * @param startAtMs earliest start by the wall clock, in milliseconds
 * @param marginalValue expected value of the fetched answer beyond that of the stored copy
 */
public record Fetch(Candidate candidate, long startAtMs, double marginalValue) {}
