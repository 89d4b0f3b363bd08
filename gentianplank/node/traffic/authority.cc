#include "gentianplank/node/traffic/authority.h"

namespace gentianplank {

namespace {

// The entry VM has read the change by then, or its caller has to come back.
constexpr Duration SupersededRetryAfter = std::chrono::milliseconds(100);
// The caller's next statement runs for the key's new organisation.
constexpr Duration ReauthorisedRetryAfter = std::chrono::milliseconds(50);
constexpr Duration UnprovenRetryAfter = std::chrono::seconds(1);

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

std::optional<StatementOutcome> reauthorise(const Routing *proven, RoutedStatement &request)
{
    ForwardedStatement &statement = request.statement;
    if (proven == nullptr) {
        return notRun(ErrorCode::Busy, "no configuration is proven to be in force on this VM",
                      UnprovenRetryAfter);
    }
    if (holdsKey(*proven, statement.organisation, statement.keyFingerprint)) {
        statement.revision = proven->revision;
        return std::nullopt;
    }
    const DatabaseRoute *route = proven->routeOf(request.origin.database);
    const bool isPublic = route != nullptr && route->isPublic;
    if (isPublic || !holdsKey(*proven, AnonymousOrganisation, statement.keyFingerprint)) {
        return notRun(ErrorCode::Busy,
                      "the API key's organisation changed while the statement waited",
                      ReauthorisedRetryAfter);
    }
    return notRun(ErrorCode::NoAuthorisation,
                  "the API key was withdrawn while the statement waited");
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
