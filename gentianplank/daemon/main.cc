// gentianplankd: the daemon of an entry VM.

#include "gentianplank/base/log.h"
#include "gentianplank/daemon/daemon.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "Path of the INI file with the settings.");
ABSL_FLAG(bool, check, false, "Check the settings and exit.");

namespace gentianplank {

namespace {

enum ExitCode {
    ExitSuccess = 0,
    ExitCannotStart = 1,
    ExitInvalidSettings = 2,
};

int run()
{
    const auto settings = loadSettings(absl::GetFlag(FLAGS_settings));
    if (!settings) {
        for (const Finding &it : settings.error()) {
            std::cerr << toString(it) << '\n';
        }
        return ExitInvalidSettings;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << "The settings are valid.\n";
        return ExitSuccess;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto daemon = startDaemon(*settings);
    if (!daemon) {
        std::cerr << daemon.error() << '\n';
        return ExitCannotStart;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    (*daemon)->shutDown();
    return ExitSuccess;
}

} // namespace

} // namespace gentianplank

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Serves callers of database groups on one entry VM.\n"
        "\n"
        "Examples:\n"
        "  gentianplankd --settings=/etc/gentianplank.ini --check   # reports all errors at once\n"
        "  gentianplankd --settings=/etc/gentianplank.ini\n"
        "\n"
        "SIGTERM and SIGINT shut down: new requests are refused, running ones finish.\n"
        "Certificates are reloaded while it runs; other settings take effect at the next start.\n"
        "Exit codes: 0 shut down or settings valid, 1 can't start, 2 invalid settings.\n"
        "\n"
        "Settings:\n" +
        gentianplank::settingsHelp());
    absl::FlagsUsageConfig usage;
    // --help shows the flags of this program, not those of its libraries.
    usage.contains_help_flags = [](absl::string_view file) {
        return file.find("daemon/main.cc") != absl::string_view::npos;
    };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);
    gentianplank::initLogging(gentianplank::Severity::Info);
    return gentianplank::run();
}
