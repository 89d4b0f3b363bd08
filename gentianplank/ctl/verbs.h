// The verbs of the command-line tool.
//
//     VerbCall call{*client, options, std::cin, std::cout, std::cerr, {}};
//     return runVerb(call, {"grant-key", "dredge-co", "@captain.key"});
#pragma once

#include "gentianplank/ctl/client.h"
#include "gentianplank/ctl/operations.h"

#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace gentianplank {

// Exit codes of the tool.
enum ExitCode {
    ExitDone = 0,
    ExitNotRun = 1,
    ExitBadUsage = 2,
    ExitOutcomeUnknown = 3,
    // The call was served, but it showed that a promise was broken.
    ExitPromiseBroken = 4,
};

// What the tool's flags say.
struct VerbOptions
{
    bool json = false;
    // For the audit trail.
    std::string operatorName;
    std::string reason;
    // Ids that make a retry of the same change or write run once; random when empty.
    std::string writeId;
    std::string requestId;
    // 0 means whatever revision is current.
    uint64_t expectedRevision = 0;
    // How long a change waits until it is in force.
    uint32_t waitMs = 5000;
    std::optional<uint32_t> acceptedAgeMs;
    bool tokenLost = false;
    // Keeps the session's token from call to call; empty for a new session each time.
    std::string sessionFile;
    // A pull waits so long after each chunk, as a slow caller does.
    Duration chunkPause{0};
};

// What a verb works with: the words after its name, and where it reads and prints.
struct VerbCall
{
    Client &client;
    const VerbOptions &options;
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
    Words words;
};

struct Verb
{
    std::string_view name;
    std::string_view parameters;
    std::string_view help;
    size_t fewest;
    size_t most;
    int (*run)(const VerbCall &call);
};

// The verbs of operators, of callers, of trials with the stand-in, and for logs.
std::span<const Verb> adminVerbs();
std::span<const Verb> callerVerbs();
std::span<const Verb> standinVerbs();
std::span<const Verb> logVerbs();

// Returns what each verb does, for the tool's help.
std::string verbsHelp();

// Whether the verb that the first word names calls a VM or the stand-in, so that it must be said
// how.
bool callsAVm(const Words &words);

// Runs the verb that the first word names. Returns an exit code.
int runVerb(VerbCall call, Words words);

// Prints a refusal and returns its exit code.
int reportRefusal(const VerbCall &call, const Refusal &refusal);

// Prints what is wrong with the words.
int reportBadUsage(const VerbCall &call, const std::string &fault);

// Prints a message as JSON when the options say so, otherwise the text.
int print(const VerbCall &call, const google::protobuf::Message &message, const std::string &text);

// Returns a new random id in hexadecimal digits.
std::string randomId();

} // namespace gentianplank
