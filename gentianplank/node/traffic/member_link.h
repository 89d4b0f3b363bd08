// A connection to a member. It carries one request at a time and collects each answer until it is
// complete.
//
//     auto link = MemberLink::open(ioContext, parameters, timeout, onOpened);
//     link->request(line, timeout, [](MemberReply reply) { ... });
#pragma once

#include "gentianplank/base/memory_budget.h"
#include "gentianplank/base/time.h"
#include "gentianplank/platform/line_codec.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gentianplank {

// Identifies the member to connect to and the organisation that the session belongs to.
struct MemberLinkParameters
{
    std::string address;
    std::string group;
    std::string memberId;
    std::string organisation;
    // May be null.
    std::shared_ptr<MemoryBudget> memory = nullptr;
};

// A member's answer to a request, or why there is none.
struct MemberReply
{
    enum class Kind {
        // The complete answer came; it may be an error.
        Answer,
        // The connection was lost before the complete answer.
        Broken,
        // The timeout passed before the complete answer; the connection was reset.
        TimedOut,
        // This VM closed the connection before the complete answer.
        Closed,
    };
    Kind kind = Kind::Broken;
    // The lines of the answer, without the final READY line.
    std::string lines;
    // Unset on success.
    std::optional<ErrorCode> code;
    // The member's error message, or why the answer is missing.
    std::string text;
    TransactionState state = TransactionState::Idle;
    std::optional<LogPosition> position;
    // Set if the first row of the answer is a member's status.
    std::optional<platform::MemberStatus> status;
};

// Not thread-safe: use it on its I/O context's thread.
class MemberLink : public std::enable_shared_from_this<MemberLink>
{
public:
    using ReplyHandler = std::function<void(MemberReply)>;

    // Connects and starts a session. Calls `opened` once with the member's answer; no request may
    // be sent before.
    static std::shared_ptr<MemberLink> open(boost::asio::io_context &ioContext,
                                            const MemberLinkParameters &parameters,
                                            Duration timeout, ReplyHandler opened);
    ~MemberLink();

    // Sends a line and calls `handler` with the answer. Only while no request is outstanding.
    void request(std::string line, Duration timeout, ReplyHandler handler);

    // Resets the connection. An outstanding request ends as Closed.
    void close();

    // Sets the function to call when the connection closes while no request is outstanding.
    void onIdleClose(std::function<void()> handler);

    bool isOpen() const;
    // Whether a request is outstanding.
    bool isBusy() const;

    // Unique in this process, from 1 on.
    uint64_t number() const;

    // The organisation that the session was started for. Only its statements may use the
    // connection, since the member was told no other.
    const std::string &organisation() const;

    // Session values and statements prepared on this connection, maintained by the link's user. The
    // prepared statements are listed with their names at the member.
    std::map<std::string, std::string> values;
    std::map<PreparedStatement, std::string> prepared;

private:
    struct State;
    explicit MemberLink(std::unique_ptr<State> state);
    void connected(const MemberLinkParameters &parameters);
    void read();
    void updateMemory();
    void processLines();
    void write(std::string line);
    void armTimer(Duration timeout);
    void finish(MemberReply reply);
    void fail(MemberReply::Kind kind, const std::string &what);

    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
