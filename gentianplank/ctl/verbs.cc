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
            {"Trials with gentianplank-standin", standinVerbs()},
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

int reportBadUsage(const VerbCall &call, const std::string &fault)
{
    call.err << fault << '\n';
    return ExitBadUsage;
}

int print(const VerbCall &call, const google::protobuf::Message &message, const std::string &text)
{
    if (!call.options.json) {
        call.out << text;
        return ExitDone;
    }
    google::protobuf::util::JsonPrintOptions format;
    format.add_whitespace = true;
    format.always_print_primitive_fields = true;
    format.preserve_proto_field_names = true;
    std::string json;
    const auto status = google::protobuf::util::MessageToJsonString(message, &json, format);
    if (!status.ok()) {
        call.err << "the answer can't be written as JSON: " << status.ToString() << '\n';
        return ExitOutcomeUnknown;
    }
    call.out << json;
    return ExitDone;
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

bool callsAVm(const Words &words)
{
    const auto verbs = logVerbs();
    return words.empty() || std::none_of(verbs.begin(), verbs.end(),
                                         [&](const Verb &it) { return it.name == words.front(); });
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

int runVerb(VerbCall call, Words words)
{
    if (words.empty()) {
        call.err << "no verb; the verbs are:\n" << verbsHelp();
        return ExitBadUsage;
    }
    for (const VerbGroup &group : verbGroups()) {
        for (const Verb &it : group.verbs) {
            if (words[0] != it.name) {
                continue;
            }
            call.words = words.subspan(1);
            if (call.words.size() < it.fewest || call.words.size() > it.most) {
                call.err << "usage: gentianplankctl " << it.name << ' ' << it.parameters << '\n';
                return ExitBadUsage;
            }
            return it.run(call);
        }
    }
    call.err << "'" << words[0] << "' is not a verb; the verbs are:\n" << verbsHelp();
    return ExitBadUsage;
}

} // namespace gentianplank
