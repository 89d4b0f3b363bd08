// A member of a database group as announced through discovery.
#pragma once

#include "gentianplank/base/time.h"

#include <cstdint>
#include <string>

namespace gentianplank {

struct MemberEntry
{
    std::string id;
    std::string group;
    // IP:PORT. Another member may reuse the address later.
    std::string address;
    std::string zone;
    // Statements that the member executes concurrently.
    uint32_t slots = 1;
    // The member is leaving and gets no new statements or transactions.
    bool isLeaving = false;
    // The member claims to be the primary of its group.
    bool claimsPrimary = false;
    // Unix time of the member's start, in milliseconds. If it changes, the member has restarted and
    // lost its state.
    int64_t startedAtMs = 0;
    // How much longer the member was cold when the entry was written.
    Duration coldRemaining{0};

    bool operator==(const MemberEntry &) const = default;
};

// Whether two entries differ at most in how much longer the member is cold. Thread-safe.
inline bool isSameExceptCold(const MemberEntry &a, MemberEntry b)
{
    b.coldRemaining = a.coldRemaining;
    return a == b;
}

} // namespace gentianplank
