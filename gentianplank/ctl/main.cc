// gentianplankctl: the tool of operators and callers.

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
ABSL_FLAG(std::string, key_file, "", "A file with the caller's or operator's key.");
ABSL_FLAG(bool, plain_text, false, "Call in plain text, without TLS.");
ABSL_FLAG(std::string, authority_file, "", "A PEM file with the authority of the VMs.");
ABSL_FLAG(int, timeout_ms, 10000, "How long a call may take, in milliseconds.");
ABSL_FLAG(bool, json, false, "Print answers as JSON.");
ABSL_FLAG(std::string, operator_name, "", "Who changes the configuration; for the audit trail.");
ABSL_FLAG(std::string, reason, "", "Why the configuration changes; for the audit trail.");
ABSL_FLAG(std::string, write_id, "", "The change's id; a retry with the same id is stored once.");
ABSL_FLAG(uint64_t, expected_revision, 0, "Store the change only above this revision.");
ABSL_FLAG(uint32_t, wait_ms, 5000, "How long a change waits until it is in force.");
ABSL_FLAG(std::string, request_id, "", "The write's id; a retry with the same id runs once.");
ABSL_FLAG(std::string, session, "", "A file that keeps the session's token from call to call.");
ABSL_FLAG(bool, token_lost, false, "The session has lost its token: read from the primary.");
ABSL_FLAG(int, accepted_age_ms, -1, "A read accepts data of this age, in milliseconds.");
ABSL_FLAG(int, chunk_pause_ms, 0, "A pull waits so long after each chunk.");

namespace gentianplank {

namespace {

constexpr const char *Usage =
    "Administers a gentianplank fleet, and calls it.\n"
    "\n"
    "The key is read from --key_file or the environment variable GENTIANPLANK_KEY.\n"
    "Say --authority_file=FILE for TLS or --plain_text, but for verbs that only read logs.\n"
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
    "Exit codes: 0 done, 1 refused and not run, 2 bad usage, 3 outcome unknown (repeat it under\n"
    "the same id), 4 served, but a promise was found broken.\n"
    "\n"
    "Verbs. --helpfull lists the flags.\n\n";

VerbOptions optionsOfFlags()
{
    VerbOptions options;
    options.json = absl::GetFlag(FLAGS_json);
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

int run(Words words)
{
    ClientOptions client;
    client.vm = absl::GetFlag(FLAGS_vm);
    client.standin = absl::GetFlag(FLAGS_standin);
    client.authorityFile = absl::GetFlag(FLAGS_authority_file);
    client.timeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    const bool isSaidHow = absl::GetFlag(FLAGS_plain_text) == client.authorityFile.empty();
    if (callsAVm(words) && !isSaidHow) {
        std::cerr << "say either --authority_file=FILE for TLS or --plain_text\n";
        return ExitBadUsage;
    }
    const char *const key = std::getenv("GENTIANPLANK_KEY");
    client.key = key == nullptr ? "" : key;
    if (!absl::GetFlag(FLAGS_key_file).empty()) {
        const auto fromFile = parseKey("@" + absl::GetFlag(FLAGS_key_file));
        if (!fromFile) {
            std::cerr << fromFile.error() << '\n';
            return ExitBadUsage;
        }
        client.key = *fromFile;
    }
    const VerbOptions options = optionsOfFlags();
    return runVerb({*makeGrpcClient(client), options, std::cin, std::cout, std::cerr, {}}, words);
}

} // namespace

} // namespace gentianplank

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(gentianplank::Usage + gentianplank::verbsHelp());
    absl::FlagsUsageConfig usage;
    // --help shows the flags of this program, not those of its libraries.
    usage.contains_help_flags = [](absl::string_view file) {
        return file.find("ctl/main.cc") != absl::string_view::npos;
    };
    absl::SetFlagsUsageConfig(usage);
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> words(arguments.begin() + 1, arguments.end());
    return gentianplank::run(words);
}
