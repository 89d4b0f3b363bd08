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
    it->second = mergePositions(it->second, written);
}

std::string encodeSessionToken(const Session &session, std::string_view secret)
{
    session::v1::SessionToken token;
    for (const auto &[group, position] : session.positions) {
        session::v1::GroupPosition *entry = token.add_positions();
        entry->set_group(group);
        toWire(position, entry->mutable_position());
    }
    session::v1::SignedToken signedToken;
    token.SerializeToString(signedToken.mutable_payload());
    signedToken.set_signature(signPayload(signedToken.payload(), secret));
    return signedToken.SerializeAsString();
}

tl::expected<Session, Refusal> decodeSessionToken(std::string_view token, std::string_view secret)
{
    if (token.empty()) {
        return Session{};
    }
    session::v1::SignedToken signedToken;
    if (!signedToken.ParseFromArray(token.data(), static_cast<int>(token.size()))) {
        return tl::unexpected(refuse(Reason::InvalidRequest, ExecutionOutcome::NotRun,
                                     "the session token is not a signed token"));
    }
    if (!equalInConstantTime(signedToken.signature(), signPayload(signedToken.payload(), secret))) {
        return tl::unexpected(refuse(Reason::InvalidRequest, ExecutionOutcome::NotRun,
                                     "the session token's signature does not match"));
    }
    session::v1::SessionToken payload;
    if (!payload.ParseFromString(signedToken.payload())) {
        return tl::unexpected(refuse(Reason::InvalidRequest, ExecutionOutcome::NotRun,
                                     "the session token's payload is malformed"));
    }
    Session session;
    for (const session::v1::GroupPosition &it : payload.positions()) {
        recordWrite(session, it.group(), fromWire(it.position()));
    }
    return session;
}

} // namespace gentianplank
