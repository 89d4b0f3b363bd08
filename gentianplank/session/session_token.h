// The session token: the session's last acknowledged write in each group, signed with the fleet's
// secret.
//
//     auto session = decodeSessionToken(request.session_token(), secret);
//     recordWrite(*session, "ledger-1", written);
//     reply.set_session_token(encodeSessionToken(*session, secret));
#pragma once

#include "gentianplank/base/refusal.h"
#include "gentianplank/session/log_position.h"

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <string_view>

namespace gentianplank {

// Position of the last acknowledged write, by group.
struct Session
{
    std::map<std::string, LogPosition, std::less<>> positions;
};

// Returns the position that the session's reads in `group` must cover; zero if it wrote nothing.
LogPosition requiredPosition(const Session &session, std::string_view group);

// Records an acknowledged write. Positions never move back.
void recordWrite(Session &session, std::string_view group, const LogPosition &written);

// Serializes and signs a session. Thread-safe.
std::string encodeSessionToken(const Session &session, std::string_view secret);

// Verifies and parses a token. An empty token is a new session. Fails with InvalidRequest if the
// signature or the format is wrong. Thread-safe.
tl::expected<Session, Refusal> decodeSessionToken(std::string_view token, std::string_view secret);

} // namespace gentianplank
