// The verbs of gentianplankctl, its command-line subcommands.
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

// Exit codes of gentianplankctl.
enum ExitCode {
    ExitSuccess = 0,
    // The request was refused and not run, or the logs have no line of the traced request.
    ExitNotRun = 1,
    ExitUsageError = 2,
    // The request may have run. A retry with the same id runs it at most once.
    ExitOutcomeUnknown = 3,
    // The request was served, but its result violates a consistency guarantee.
    ExitGuaranteeViolated = 4,
};

// Options of a verb, as set by the tool's flags.
struct VerbOptions
{
    bool json = false;
    // Recorded in the audit trail with each change.
    std::string operatorName;
    std::string reason;
    // Idempotency ids of a change and of a write: a retry with the same id runs once. Random when
    // empty.
    std::string writeId;
    std::string requestId;
    // The revision that a change is based on; 0 accepts any.
    uint64_t expectedRevision = 0;
    // How long a change waits to be in force, in milliseconds.
    uint32_t waitMs = 5000;
    // Accepted staleness of a read, in milliseconds.
    std::optional<uint32_t> acceptedAgeMs;
    // The session token is lost, so reads go to the primary.
    bool tokenLost = false;
    // File that keeps the session token between calls; empty starts a new session each time.
    std::string sessionFile;
    // Ready address of a gentianplank-entry as "IP:port", and the deadline of a call to it.
    std::string readyAddress;
    Duration timeout = std::chrono::seconds(10);
    // Pause of a pull after each chunk, to simulate a slow caller.
    Duration chunkPause{0};
};

// The context of one verb call: client, options, streams, and the arguments after the verb's name.
struct VerbCall
{
    Client &client;
    const VerbOptions &options;
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
    Arguments arguments;
};

struct Verb
{
    // The name on the command line; `parameters` and `help` are printed by --help.
    std::string_view name;
    std::string_view parameters;
    std::string_view help;
    // Bounds of the number of arguments, both inclusive.
    size_t minArguments;
    size_t maxArguments;
    // Returns an exit code.
    int (*run)(const VerbCall &call);
};

// The verbs for operators, for callers, for tests with the stand-in, for gentianplank-entry and for
// logs.
std::span<const Verb> adminVerbs();
std::span<const Verb> callerVerbs();
std::span<const Verb> standinVerbs();
std::span<const Verb> entryVerbs();
std::span<const Verb> logVerbs();

// Returns a description of every verb, for the tool's help.
std::string verbsHelp();

// Returns whether the verb named by the first argument calls a VM or the stand-in, and so needs the
// transport to be chosen. True without arguments and for an unknown verb.
bool makesRemoteCall(const Arguments &arguments);

// Runs the verb named by the first argument, after checking the number of arguments. Errors are
// printed to `call.err`. Returns an exit code.
int runVerb(VerbCall call, Arguments arguments);

// Prints a refusal and returns its exit code.
int reportRefusal(const VerbCall &call, const Refusal &refusal);

// Prints the error of invalid arguments. Returns ExitUsageError.
int reportUsageError(const VerbCall &call, const std::string &error);

// Prints `message` as JSON with --json, otherwise `text`. Returns an exit code.
int printReply(const VerbCall &call, const google::protobuf::Message &message,
               const std::string &text);

// Returns a random id of 128 bits in hexadecimal digits.
std::string randomId();

} // namespace gentianplank
