#include "gentianplank/ctl/verbs.h"
#include "gentianplank/http/http_client.h"

#include <boost/asio/io_context.hpp>

#include <cctype>
#include <optional>

namespace gentianplank {

namespace {

constexpr char KeyDigestPrefix[] = "key-digest:";
constexpr char NoOrganisation[] = "-";
constexpr unsigned Succeeded = 200;

// Encodes all bytes but letters and digits.
std::string encodePercent(std::string_view text)
{
    constexpr char digits[] = "0123456789ABCDEF";
    std::string result;
    for (const char it : text) {
        const auto byte = static_cast<unsigned char>(it);
        if (std::isalnum(byte) != 0) {
            result += it;
            continue;
        }
        result += '%';
        result += digits[byte / 16U];
        result += digits[byte % 16U];
    }
    return result;
}

std::string explainTarget(const VerbCall &call)
{
    const std::string &caller = call.arguments[1];
    std::string target = "/explain?database=" + encodePercent(call.arguments[0]);
    if (caller.starts_with(KeyDigestPrefix)) {
        target += "&key-digest=" + encodePercent(caller.substr(sizeof(KeyDigestPrefix) - 1));
    } else if (caller != NoOrganisation) {
        target += "&organisation=" + encodePercent(caller);
    }
    target += "&kind=" + encodePercent(call.arguments[2]);
    if (!call.options.requestId.empty()) {
        target += "&request-id=" + encodePercent(call.options.requestId);
    }
    return target + (call.options.json ? "&format=json" : "&format=text");
}

int explain(const VerbCall &call)
{
    boost::asio::io_context context;
    HttpClient client(context, call.options.readyAddress);
    std::optional<HttpResult> result;
    client.call({"GET", explainTarget(call), "", {}}, call.options.timeout,
                [&](HttpResult it) { result = std::move(it); });
    while (!result && context.run_one() > 0) {
    }
    if (!result || !*result) {
        call.err << call.options.readyAddress << " did not answer"
                 << (result ? ": " + result->error().what : "") << '\n';
        return ExitNotRun;
    }
    if ((*result)->status != Succeeded) {
        call.err << call.options.readyAddress << " answered " << (*result)->status << ": "
                 << (*result)->body;
        return ExitUsageError;
    }
    call.out << (*result)->body;
    return ExitSuccess;
}

constexpr Verb Verbs[] = {
    {"explain", "DATABASE ORGANISATION|key-digest:DIGEST|- read|write",
     "shows where the VM would send a statement now, with every check and each member's cost; "
     "sends "
     "nothing",
     3, 3, explain},
};

} // namespace

std::span<const Verb> entryVerbs()
{
    return Verbs;
}

} // namespace gentianplank
