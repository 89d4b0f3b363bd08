// In-memory database group whose members speak the platform's line protocol, for tests.
//
//     LineProtocolGroup group("ledger", 3);
//     group.discoveryEntry(0);                  // the member's discovery entry
//     group.crash(0);
//     group.promote(1);
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/target/member_entry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gentianplank {

// A statement that a member received for execution, and the session that it arrived in.
struct ExecutedStatement
{
    std::string requestId;
    std::string text;
    std::string organisation;
    // Index of the member in the group.
    size_t member = 0;
    // Number of the connection, unique in the group.
    uint64_t connection = 0;
    // Session variables that the connection had set.
    std::map<std::string, std::string> values;
    // When the member ran it.
    Instant at{};
};

// A write that took effect at a primary.
struct CommittedWrite
{
    std::string item;
    std::string data;
    uint64_t term = 0;
};

// Serves the members on loopback ports, all on one thread. A committed write reaches every replica
// at once, unless replication is paused. Thread-safe.
class LineProtocolGroup
{
public:
    LineProtocolGroup(std::string name, size_t members, uint32_t connectionLimit = 16);
    ~LineProtocolGroup();

    // Returns the member's discovery entry. Member 0 is the initial primary.
    MemberEntry discoveryEntry(size_t member) const;
    // Returns the discovery entry as the platform's JSON document.
    std::string discoveryDocument(size_t member) const;

    // Stops listening and resets all connections of the member.
    void crash(size_t member);
    // Starts a crashed member again at another address, as a replica with the primary's data, or as
    // the primary if no other member was promoted.
    void restart(size_t member);
    // Makes the member accept connections but never answer.
    void stopAnswering(size_t member);
    // Makes the member answer its status and connections as usual, and every statement of callers
    // with an error.
    void failStatements(size_t member, bool fails);
    // Makes the member answer queries of its status with BUSY.
    void refuseStatus(size_t member, bool refuses);
    // Makes the next write or commit take effect but reset its connection instead of answering.
    void loseNextAnswer();
    // Makes reads of an item be answered with rows without an end: of 64 KiB as fast as they are
    // taken, or a short one each tenth of a second.
    void answerWithoutEnd(const std::string &item, bool isSlow);
    // Pauses or resumes replication; on resuming, replicas catch up with the primary.
    void setReplicationPaused(bool isPaused);
    // Makes a member the primary of the next term, with the data that it has replicated.
    void promote(size_t member);

    // Returns all statements run so far, without those that the proxy sends for itself.
    std::vector<ExecutedStatement> runs() const;
    // Returns all writes that took effect so far.
    std::vector<CommittedWrite> commits() const;
    // Returns the committed items of the current primary, or none without a primary.
    std::map<std::string, std::string> committed() const;
    // Returns the number of open connections of a member.
    size_t connections(size_t member) const;
    // Returns the most statements that are prepared on one connection of a member.
    size_t preparedStatements(size_t member) const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
