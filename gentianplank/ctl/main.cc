// gentianplankctl: command-line client for operators and callers of a gentianplank fleet.

#include "gentianplank/ctl/verbs.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, vm, "127.0.0.1:7000", "The VM to call, as IP:port.");
ABSL_FLAG(std::string, standin, "127.0.0.1:7100", "The stand-in to call, as IP:port.");
ABSL_FLAG(std::string, ready, "127.0.0.1:7001",
          "The ready address of a VM that runs gentianplank-entry, as IP:port.");
ABSL_FLAG(std::string, key_file, "", "File with the caller's or operator's key.");
ABSL_FLAG(bool, plain_text, false, "Call in plain text, without TLS.");
ABSL_FLAG(std::string, authority_file, "", "PEM file of the CA that issues the VMs' certificates.");
ABSL_FLAG(int, timeout_ms, 10000, "Deadline of a call, in milliseconds.");
ABSL_FLAG(bool, json, false, "Print replies as JSON.");
ABSL_FLAG(std::string, operator_name, "", "Operator recorded in the audit trail.");
ABSL_FLAG(std::string, reason, "", "Reason recorded in the audit trail.");
ABSL_FLAG(std::string, write_id, "", "Id of the change; a retry with the same id is stored once.");
ABSL_FLAG(uint64_t, expected_revision, 0,
          "Store the change only if this is the current revision; 0 accepts any.");
ABSL_FLAG(uint32_t, wait_ms, 5000, "How long a change waits to be in force, in milliseconds.");
ABSL_FLAG(std::string, request_id, "", "Id of the write; a retry with the same id runs once.");
ABSL_FLAG(std::string, session, "", "File that keeps the session token between calls.");
ABSL_FLAG(bool, token_lost, false, "The session token is lost: read from the primary.");
ABSL_FLAG(int, accepted_age_ms, -1,
          "Accepted staleness of a read, in milliseconds; unset if negative.");
ABSL_FLAG(int, chunk_pause_ms, 0, "Pause of a pull after each chunk, in milliseconds.");

namespace gentianplank {

namespace {

constexpr const char *Usage =
    "Administers a gentianplank fleet and runs statements through it.\n"
    "\n"
    "The key is read from --key_file or the environment variable GENTIANPLANK_KEY.\n"
    "Pass either --authority_file=FILE (TLS) or --plain_text, except for verbs that read\n"
    "logs or explain.\n"
    "\n"
    "Examples:\n"
    "  export GENTIANPLANK_KEY=the-operators-key\n"
    "  gentianplankctl --plain_text --vm=127.0.0.1:7000 status\n"
    "  gentianplankctl --plain_text --operator_name=ana --reason='new member' \\\n"
    "      put-organisation dredge-co 100 200\n"
    "  gentianplankctl --plain_text --operator_name=ana --reason='new member' \\\n"
    "      grant-key dredge-co @captain.key\n"
    "  gentianplankctl --plain_text --key_file=captain.key --session=captain.session \\\n"
    "      --request_id=load-17 add tickets scow-7 120\n"
    "\n"
    "Exit codes: 0 success, 1 refused and not run, 2 usage error, 3 outcome unknown (retry with\n"
    "the same id), 4 served, but a consistency guarantee was found violated.\n"
    "\n"
    "Verbs. --helpfull lists the flags.\n\n";

VerbOptions optionsFromFlags()
{
    VerbOptions options;
    options.json = absl::GetFlag(FLAGS_json);
    options.readyAddress = absl::GetFlag(FLAGS_ready);
    options.timeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    options.operatorName = absl::GetFlag(FLAGS_operator_name);
    options.reason = absl::GetFlag(FLAGS_reason);
    options.writeId = absl::GetFlag(FLAGS_write_id);
    options.requestId = absl::GetFlag(FLAGS_request_id);
    options.expectedRevision = absl::GetFlag(FLAGS_expected_revision);
    options.waitMs = absl::GetFlag(FLAGS_wait_ms);
    if (absl::GetFlag(FLAGS_accepted_age_ms) >= 0) {
        options.acceptedAgeMs = static_cast<uint32_t>(absl::GetFlag(FLAGS_accepted_age_ms));
    }
    options.tokenLost = absl::GetFlag(FLAGS_token_lost);
    options.sessionFile = absl::GetFlag(FLAGS_session);
    options.chunkPause = std::chrono::milliseconds(absl::GetFlag(FLAGS_chunk_pause_ms));
    return options;
}

int run(Arguments arguments)
{
    ClientOptions client;
    client.vm = absl::GetFlag(FLAGS_vm);
    client.standin = absl::GetFlag(FLAGS_standin);
    client.authorityFile = absl::GetFlag(FLAGS_authority_file);
    client.timeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    const bool isTransportChosen = absl::GetFlag(FLAGS_plain_text) == client.authorityFile.empty();
    if (makesRemoteCall(arguments) && !isTransportChosen) {
        std::cerr << "pass either --authority_file=FILE (TLS) or --plain_text\n";
        return ExitUsageError;
    }
    const char *const key = std::getenv("GENTIANPLANK_KEY");
    client.key = key == nullptr ? "" : key;
    if (!absl::GetFlag(FLAGS_key_file).empty()) {
        const auto fromFile = parseKey("@" + absl::GetFlag(FLAGS_key_file));
        if (!fromFile) {
            std::cerr << fromFile.error() << '\n';
            return ExitUsageError;
        }
        client.key = *fromFile;
    }
    const VerbOptions options = optionsFromFlags();
    return runVerb({*makeGrpcClient(client), options, std::cin, std::cout, std::cerr, {}},
                   arguments);
}

} // namespace

} // namespace gentianplank

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(gentianplank::Usage + gentianplank::verbsHelp());
    absl::FlagsUsageConfig usage;
    // Limits --help to the flags of this program; its libraries define flags too.
    usage.contains_help_flags = [](absl::string_view file) {
        return file.find("ctl/main.cc") != absl::string_view::npos;
    };
    absl::SetFlagsUsageConfig(usage);
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> arguments(positional.begin() + 1, positional.end());
    return gentianplank::run(arguments);
}
