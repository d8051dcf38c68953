package sandpaddle.fleet.content.disk;

import sandpaddle.fleet.content.ContentId;

/** The location of an answer in a segment, with its CRC-32C and what its value is judged by. */
record AnswerLocation(ContentId id, long at, int length, int crc, long askedWall, long maxAgeMs, double worth) {
    double worth(long wall) {
        return wall - askedWall > maxAgeMs ? 0 : worth;
    }

    double density(long wall) {
        return worth(wall) / Math.max(1, length);
    }
}
