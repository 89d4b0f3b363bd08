#include "gentianplank/session/session_token.h"

#include "gentianplank/base/digest.h"
#include "gentianplank/proto/session.pb.h"

namespace gentianplank {

LogPosition requiredPosition(const Session &session, std::string_view group)
{
    const auto it = session.positions.find(group);
    return it == session.positions.end() ? LogPosition{} : it->second;
}

void recordWrite(Session &session, std::string_view group, const LogPosition &written)
{
    const auto it = session.positions.find(group);
    if (it == session.positions.end()) {
        session.positions.emplace(group, written);
        return;
    }
    it->second = joined(it->second, written);
}

std::string encodeSessionToken(const Session &session, std::string_view secret)
{
    session::v1::SessionToken token;
    for (const auto &[group, position] : session.positions) {
        session::v1::GroupPosition *entry = token.add_positions();
        entry->set_group(group);
        toWire(position, entry->mutable_position());
    }
    session::v1::SignedToken sealed;
    token.SerializeToString(sealed.mutable_payload());
    sealed.set_signature(signPayload(sealed.payload(), secret));
    return sealed.SerializeAsString();
}

tl::expected<Session, Refusal> decodeSessionToken(std::string_view token, std::string_view secret)
{
    if (token.empty()) {
        return Session{};
    }
    session::v1::SignedToken sealed;
    if (!sealed.ParseFromArray(token.data(), static_cast<int>(token.size()))) {
        return tl::unexpected(refuse(Reason::InvalidRequest, ExecutionOutcome::NotRun,
                                     "the session token can't be read"));
    }
    if (!equalInConstantTime(sealed.signature(), signPayload(sealed.payload(), secret))) {
        return tl::unexpected(refuse(Reason::InvalidRequest, ExecutionOutcome::NotRun,
                                     "the session token's signature is wrong"));
    }
    session::v1::SessionToken payload;
    if (!payload.ParseFromString(sealed.payload())) {
        return tl::unexpected(refuse(Reason::InvalidRequest, ExecutionOutcome::NotRun,
                                     "the session token can't be read"));
    }
    Session session;
    for (const session::v1::GroupPosition &it : payload.positions()) {
        recordWrite(session, it.group(), fromWire(it.position()));
    }
    return session;
}

} // namespace gentianplank
