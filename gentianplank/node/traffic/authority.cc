#include "gentianplank/node/traffic/authority.h"

namespace gentianplank {

namespace {

// The entry VM has read the change by then, or its caller has to come back.
constexpr Duration SupersededRetryAfter = std::chrono::milliseconds(100);

} // namespace

Authority authorityOf(const Routing *proven, const ForwardedStatement &statement)
{
    if (statement.revision == 0) {
        return Authority::Confirmed;
    }
    if (proven == nullptr) {
        return Authority::Unproven;
    }
    return proven->revision < statement.revision ||
                   holdsKey(*proven, statement.organisation, statement.keyFingerprint)
               ? Authority::Confirmed
               : Authority::Superseded;
}

std::optional<StatementOutcome> authorityRefusal(const Routing *proven,
                                                 const ForwardedStatement &statement)
{
    const ErrorCode code = statement.continuesTransaction ? ErrorCode::Aborted : ErrorCode::Busy;
    switch (authorityOf(proven, statement)) {
    case Authority::Confirmed:
        return std::nullopt;
    case Authority::Superseded:
        return notRun(code, "the organisation no longer holds the API key", SupersededRetryAfter);
    case Authority::Unproven:
        break;
    }
    StatementOutcome outcome =
        notRun(code, "no configuration is proven to be in force on the dispatching VM");
    outcome.isUnreachable = true;
    return outcome;
}

} // namespace gentianplank
