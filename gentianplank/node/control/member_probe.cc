#include "gentianplank/node/control/member_probe.h"

namespace gentianplank {

namespace {

// Above the round trip to another region, with time to wait for a free connection slot of the
// member.
constexpr Duration OpenTimeout = std::chrono::milliseconds(350);
constexpr Duration AnswerTimeout = std::chrono::milliseconds(300);
// The organisation name that stands for the system itself.
constexpr char SystemOrganisation[] = "-";

} // namespace

void sendToMember(boost::asio::io_context &ioContext, const MemberEntry &member,
                  const std::string &text, std::function<void(MemberProbe)> done)
{
    // The link must live until its first answer, which comes after open() has returned.
    auto holder = std::make_shared<std::shared_ptr<MemberLink>>();
    *holder = MemberLink::open(
        ioContext, {member.address, member.group, member.id, SystemOrganisation}, OpenTimeout,
        [holder, text, done = std::move(done)](const MemberReply &opened) {
            const auto link = std::move(*holder);
            if (opened.kind != MemberReply::Kind::Answer || opened.code) {
                const bool refused = opened.code && opened.code != ErrorCode::WrongMember;
                done({refused, std::nullopt, opened.text});
                return;
            }
            link->request(platform::encodeStatement(platform::InternalRequestId, text, {}),
                          AnswerTimeout, [link, done](const MemberReply &reply) {
                              const bool answered = reply.kind == MemberReply::Kind::Answer;
                              done({answered || reply.kind == MemberReply::Kind::TimedOut,
                                    answered ? reply.status : std::nullopt, reply.text});
                              link->close();
                          });
        });
}

void probeMember(boost::asio::io_context &ioContext, const MemberEntry &member,
                 std::function<void(MemberProbe)> done)
{
    sendToMember(ioContext, member, platform::statusText(), std::move(done));
}

} // namespace gentianplank
