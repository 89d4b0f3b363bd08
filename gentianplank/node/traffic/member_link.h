// One connection to a member: a request at a time, answers collected until they are whole.
//
//     auto link = MemberLink::open(ioContext, target, timeout, onOpened);
//     link->request(line, timeout, [](MemberReply reply) { ... });
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/platform/line_codec.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gentianplank {

// Which member a connection is for, and on whose behalf.
struct MemberLinkParameters
{
    std::string address;
    std::string group;
    std::string memberId;
    std::string organisation;
};

struct MemberReply
{
    enum class Kind {
        // The whole answer came; it may be an error.
        Answer,
        // The connection broke first.
        Broken,
        // The time was over first; the connection was reset.
        TimedOut,
    };
    Kind kind = Kind::Broken;
    // All lines but the last.
    std::string lines;
    // Nothing on success.
    std::optional<ErrorCode> code;
    std::string text;
    TransactionState state = TransactionState::Idle;
    std::optional<LogPosition> position;
    std::optional<platform::MemberStatus> status;
};

// Not thread-safe: use it on its I/O context's thread.
class MemberLink : public std::enable_shared_from_this<MemberLink>
{
public:
    using ReplyHandler = std::function<void(MemberReply)>;

    // Connects and starts a session; `opened` gets the member's answer to that, once. Until then
    // the link takes no requests.
    static std::shared_ptr<MemberLink> open(boost::asio::io_context &ioContext,
                                            const MemberLinkParameters &parameters,
                                            Duration timeout, ReplyHandler opened);
    ~MemberLink();

    // Sends a line and collects the answer. Only while no request is outstanding.
    void request(std::string line, Duration timeout, ReplyHandler handler);

    // Resets the connection. An outstanding request ends as Broken.
    void close();

    // Called when the connection ends while no request is outstanding.
    void onIdleClose(std::function<void()> handler);

    bool isOpen() const;
    bool isBusy() const;

    // What the far end of the connection knows of sessions; kept by the user of the link.
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedStatement> prepared;

private:
    struct State;
    explicit MemberLink(std::unique_ptr<State> state);
    void connected(const MemberLinkParameters &parameters);
    void read();
    void processLines();
    void write(std::string line);
    void armTimer(Duration timeout);
    void finish(MemberReply reply);
    void fail(MemberReply::Kind kind, const std::string &what);

    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
