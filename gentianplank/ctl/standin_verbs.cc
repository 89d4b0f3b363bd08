#include "gentianplank/ctl/verbs.h"

namespace gentianplank {

namespace {

// Most arguments of a verb that ends with a list.
constexpr size_t MaxListArguments = 100;

int sendFault(const VerbCall &call, const Parsed<standin::v1::FaultRequest> &request)
{
    if (!request) {
        return reportUsageError(call, request.error());
    }
    const auto reply = call.client.setFault(*request);
    return reply ? printReply(call, *reply, "set\n") : reportRefusal(call, reply.error());
}

int faultMember(const VerbCall &call)
{
    return sendFault(call, parseMemberFault(call.arguments));
}

int faultStore(const VerbCall &call)
{
    return sendFault(call, parseStoreFault(call.arguments));
}

int showReceived(const VerbCall &call)
{
    const auto reply = call.client.received();
    if (!reply) {
        return reportRefusal(call, reply.error());
    }
    std::string text;
    for (const std::string &it : reply->requests()) {
        text += it + '\n';
    }
    return printReply(call, *reply, text);
}

constexpr Verb Verbs[] = {
    {"fault-member", "GROUP MEMBER [NAME=VALUE...]",
     "sets a member's faults and clears the rest: isolated=yes|no replication_lag_ms=N "
     "lose_answers=N late_answers=N late_ms=N break_answers=N",
     2, MaxListArguments, faultMember},
    {"fault-store", "[NAME=VALUE...]",
     "sets the store's faults and clears the rest: down=yes|no slow_ms=N lose_answers=N", 0,
     MaxListArguments, faultStore},
    {"received", "", "shows the requests that the members received recently", 0, 0, showReceived},
};

} // namespace

std::span<const Verb> standinVerbs()
{
    return Verbs;
}

} // namespace gentianplank
