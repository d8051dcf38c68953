package sandpaddle.fleet.verdict.evidence;

/**
 * What a piece of evidence is about; immutable, ordered by topic and name.
 *
 * @param topic kind of evidence
 * @param name name of an engine, tenant, data group or gateway, depending on the topic
 */
public record Subject(Topic topic, String name) implements Comparable<Subject> {
    @Override
    public int compareTo(Subject other) {
        int byTopic = topic.compareTo(other.topic);
        return byTopic != 0 ? byTopic : name.compareTo(other.name);
    }
}
