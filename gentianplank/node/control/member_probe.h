// Asks a member for its status, or to do something, over a connection of its own.
//
//     probeMember(ioContext, entry, [](MemberProbe probe) { ... });
#pragma once

#include "gentianplank/node/traffic/member_link.h"
#include "gentianplank/target/member_entry.h"

#include <functional>

namespace gentianplank {

struct MemberProbe
{
    // The member accepted a connection; it may still be too busy to say more.
    bool isReachable = false;
    std::optional<platform::MemberStatus> status;
    std::string what;
};

// Sends one statement of the system's own and reports the status row in its answer. `done` is
// called once, within about two thirds of a second.
void sendToMember(boost::asio::io_context &ioContext, const MemberEntry &member,
                  const std::string &text, std::function<void(MemberProbe)> done);

// Asks for the status.
void probeMember(boost::asio::io_context &ioContext, const MemberEntry &member,
                 std::function<void(MemberProbe)> done);

} // namespace gentianplank
