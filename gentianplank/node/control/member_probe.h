// Sends a single statement, such as a status query, to a member over a connection of its own.
//
//     probeMember(ioContext, entry, [](MemberProbe probe) { ... });
#pragma once

#include "gentianplank/node/traffic/member_link.h"
#include "gentianplank/target/member_entry.h"

#include <functional>

namespace gentianplank {

struct MemberProbe
{
    // The member accepted the connection, even if it was too busy to answer the statement.
    bool isReachable = false;
    std::optional<platform::MemberStatus> status;
    std::string error;
};

// Sends one statement under the system's own organisation and reports the status row in its answer.
// `done` is called once, within about two thirds of a second.
void sendToMember(boost::asio::io_context &ioContext, const MemberEntry &member,
                  const std::string &text, std::function<void(MemberProbe)> done);

// Queries the member's status.
void probeMember(boost::asio::io_context &ioContext, const MemberEntry &member,
                 std::function<void(MemberProbe)> done);

} // namespace gentianplank
