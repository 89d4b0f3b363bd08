#include "gentianplank/ctl/verbs.h"

#include <google/protobuf/util/json_util.h>
#include <sodium.h>

#include <algorithm>
#include <sstream>

namespace gentianplank {

namespace {

constexpr size_t IdBytes = 16;

struct VerbGroup
{
    std::string_view title;
    std::span<const Verb> verbs;
};

std::vector<VerbGroup> verbGroups()
{
    return {{"Operators", adminVerbs()},
            {"Callers", callerVerbs()},
            {"Tests with gentianplank-standin", standinVerbs()},
            {"VMs that run gentianplank-entry (--ready)", entryVerbs()},
            {"Logs of gentianplank-entry", logVerbs()}};
}

} // namespace

int reportRefusal(const VerbCall &call, const Refusal &refusal)
{
    call.err << "refused (" << toString(refusal.reason) << ", " << toString(refusal.outcome) << ")";
    if (!refusal.vm.empty()) {
        call.err << " by " << refusal.vm;
    }
    call.err << ": " << refusal.message << '\n';
    if (refusal.retryAfter > Duration::zero()) {
        call.err << "try again after " << toMilliseconds(refusal.retryAfter) << " ms\n";
    }
    return refusal.outcome == ExecutionOutcome::NotRun ? ExitNotRun : ExitOutcomeUnknown;
}

int reportUsageError(const VerbCall &call, const std::string &error)
{
    call.err << error << '\n';
    return ExitUsageError;
}

int printReply(const VerbCall &call, const google::protobuf::Message &message,
               const std::string &text)
{
    if (!call.options.json) {
        call.out << text;
        return ExitSuccess;
    }
    google::protobuf::util::JsonPrintOptions format;
    format.add_whitespace = true;
    format.always_print_primitive_fields = true;
    format.preserve_proto_field_names = true;
    std::string json;
    const auto status = google::protobuf::util::MessageToJsonString(message, &json, format);
    if (!status.ok()) {
        call.err << "cannot serialise the reply as JSON: " << status.ToString() << '\n';
        return ExitOutcomeUnknown;
    }
    call.out << json;
    return ExitSuccess;
}

std::string randomId()
{
    std::string bytes(IdBytes, '\0');
    randombytes_buf(bytes.data(), bytes.size());
    std::string hex(2 * IdBytes + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), reinterpret_cast<const unsigned char *>(bytes.data()),
                   bytes.size());
    hex.pop_back();
    return hex;
}

bool makesRemoteCall(const Arguments &arguments)
{
    const auto isIn = [&](std::span<const Verb> verbs) {
        return std::any_of(verbs.begin(), verbs.end(),
                           [&](const Verb &it) { return it.name == arguments.front(); });
    };
    return arguments.empty() || !(isIn(logVerbs()) || isIn(entryVerbs()));
}

std::string verbsHelp()
{
    std::ostringstream help;
    for (const VerbGroup &group : verbGroups()) {
        help << group.title << ":\n";
        for (const Verb &it : group.verbs) {
            help << "  " << it.name << ' ' << it.parameters << "\n      " << it.help << '\n';
        }
    }
    return help.str();
}

int runVerb(VerbCall call, Arguments arguments)
{
    if (arguments.empty()) {
        call.err << "missing verb; the verbs are:\n" << verbsHelp();
        return ExitUsageError;
    }
    for (const VerbGroup &group : verbGroups()) {
        for (const Verb &it : group.verbs) {
            if (arguments[0] != it.name) {
                continue;
            }
            call.arguments = arguments.subspan(1);
            if (call.arguments.size() < it.minArguments ||
                call.arguments.size() > it.maxArguments) {
                call.err << "usage: gentianplankctl " << it.name << ' ' << it.parameters << '\n';
                return ExitUsageError;
            }
            return it.run(call);
        }
    }
    call.err << "unknown verb '" << arguments[0] << "'; the verbs are:\n" << verbsHelp();
    return ExitUsageError;
}

} // namespace gentianplank
