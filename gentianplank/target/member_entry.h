// What a member of a database group says of itself through discovery.
#pragma once

#include "gentianplank/base/time.h"

#include <cstdint>
#include <string>

namespace gentianplank {

struct MemberEntry
{
    std::string id;
    std::string group;
    // IP:PORT. Addresses are used again by other members.
    std::string address;
    std::string zone;
    // Statements that it runs at one time.
    uint32_t slots = 1;
    // It leaves: no new statements or transactions.
    bool isLeaving = false;
    // It believes that it leads its group.
    bool claimsPrimary = false;
    // The Unix time in milliseconds of its start; a changed one means that it knows nothing of
    // before.
    int64_t startedAtMs = 0;

    bool operator==(const MemberEntry &) const = default;
};

} // namespace gentianplank
