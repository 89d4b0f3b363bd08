// Stands in for the members of a database group that speak the platform's line protocol.
//
//     TextGroup group("ledger", 3);
//     group.entryOf(0);                  // what the member says through discovery
//     group.crash(0);
//     group.promote(1);
#pragma once

#include "gentianplank/target/member_entry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gentianplank {

// One run of a statement at a member.
struct MemberRun
{
    std::string requestId;
    std::string text;
    std::string organisation;
    size_t member = 0;
    // Of the connection.
    uint64_t connection = 0;
    std::map<std::string, std::string> values;
};

// Members on loopback, all served by one thread. A committed write is in every replica's log at
// once, unless replicas are held back. Thread-safe.
class TextGroup
{
public:
    TextGroup(std::string name, size_t members, uint32_t connectionLimit = 16);
    ~TextGroup();

    // The member's entry; member 0 is the first primary.
    MemberEntry entryOf(size_t member) const;
    // The same as the platform's document.
    std::string documentOf(size_t member) const;

    // Refuses connections and drops those there are.
    void crash(size_t member);
    // Accepts connections and answers nothing more.
    void silence(size_t member);
    // Runs the next write or commit and drops its answer with the connection.
    void loseNextAnswer();
    // Replicas receive nothing until they are let go on.
    void holdReplicas(bool isHeld);
    // Makes a member lead the next term with what it has received.
    void promote(size_t member);

    std::vector<MemberRun> runs() const;
    // The committed values of items at the present primary.
    std::map<std::string, std::string> committed() const;
    size_t connections(size_t member) const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
