// gentianplank-entry: the database proxy of an entry VM.

#include "gentianplank/base/event_log.h"
#include "gentianplank/node/control/control.h"
#include "gentianplank/node/traffic/traffic.h"
#include "gentianplank/platform/names.h"
#include "gentianplank/platform/process_settings.h"
#include "gentianplank/settings/derived_times.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/str_join.h>

#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

ABSL_FLAG(std::string, settings, "",
          "path of the settings file; defaults to the one named by the environment");
ABSL_FLAG(uint16_t, metrics_port, 0,
          "additional port of the VM's address that serves metrics; 0: readiness address only");
ABSL_FLAG(std::string, zone_policy, "fixed",
          "how reads are divided over zones: fixed (constant costs) or adaptive (measured)");
ABSL_FLAG(double, region_link_mbps, gentianplank::DefaultRegionLinkMbps,
          "bandwidth of the link between regions in Mbit/s, for the adaptive zone policy");
ABSL_FLAG(bool, check, false, "check the settings, print the findings and exit");

namespace {

using namespace gentianplank;

constexpr char Version[] = "gentianplank-entry 0.2.0";
// Interval for rereading the settings file, which may change without a signal.
constexpr int SettingsCheckSeconds = 5;
// Blocks of at least this size are mapped, and unmapped when freed.
constexpr int MapThresholdBytes = 128 * 1024;

std::string settingsFile()
{
    std::string file = absl::GetFlag(FLAGS_settings);
    if (file.empty()) {
        const char *fromEnvironment = std::getenv(platform::SettingsVariable);
        file = fromEnvironment == nullptr ? "" : fromEnvironment;
    }
    return file;
}

uint64_t newIncarnation()
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32U) | device();
}

void reportFindings(const std::vector<Finding> &findings)
{
    for (const Finding &it : findings) {
        std::cerr << toString(it) << '\n';
    }
}

// Reloads the settings. Changes that a running process can't apply are logged and take effect at
// the next start.
void reloadSettings(const std::string &file, EntryVmSettings &current, bool isRequested,
                    Traffic &traffic)
{
    const auto loaded = platform::loadProcessSettings(file);
    if (!loaded) {
        for (const Finding &it : loaded.error()) {
            logEvent("settings.refused", {{"finding", toString(it)}});
        }
        return;
    }
    const SettingsReload change = applyReload(current, *loaded);
    current = change.inForce;
    if (!change.appliedNow.empty()) {
        traffic.applySettings(current);
    }
    if (isRequested || !change.appliedNow.empty()) {
        logEvent("settings.reloaded", {{"asked", isRequested},
                                       {"taken", absl::StrJoin(change.appliedNow, ", ")},
                                       {"at_next_start", absl::StrJoin(change.deferred, ", ")}});
    }
}

void waitForSignals(const sigset_t &signals, const std::string &file, EntryVmSettings settings,
                    Control &control, Traffic &traffic)
{
    bool isStopping = false;
    while (true) {
        const timespec pollInterval{SettingsCheckSeconds, 0};
        const int signal = sigtimedwait(&signals, nullptr, &pollInterval);
        if (signal == SIGUSR1) {
            return;
        }
        if (signal == SIGTERM || signal == SIGINT) {
            if (!isStopping) {
                logEvent("stop.asked", {{"signal", signal}});
            }
            isStopping = true;
            control.leave();
        } else if (!isStopping) {
            reloadSettings(file, settings, signal == SIGHUP, traffic);
        }
    }
}

ZoneOptions zoneOptions()
{
    ZoneOptions zones;
    zones.policy = parseZonePolicy(absl::GetFlag(FLAGS_zone_policy)).value_or(ZonePolicy::Fixed);
    zones.regionLinkMbps = absl::GetFlag(FLAGS_region_link_mbps);
    return zones;
}

int serve(const std::string &file, const EntryVmSettings &settings)
{
    // Blocks the signals in every thread, which inherits the mask; the main thread waits for them.
    // The traffic thread sends SIGUSR1 when it has stopped.
    sigset_t signals;
    sigemptyset(&signals);
    for (const int it : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) {
        sigaddset(&signals, it);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    // A fixed threshold: the allocator's own rises to the size of the largest freed block, after
    // which large buffers fragment the heap and are not returned to the system.
    mallopt(M_MMAP_THRESHOLD, MapThresholdBytes);
    startEventLog();

    const uint64_t incarnation = newIncarnation();
    logEvent("start", {{"version", Version},
                       {"vm", settings.name},
                       {"zone", settings.place.zone},
                       {"incarnation", incarnation}});
    for (const std::string &it : tooShortBounds(settings)) {
        logEvent("settings.tight", {{"bound", it}});
    }
    const pthread_t mainThread = pthread_self();
    Control control(settings, incarnation);
    TrafficHandler handler;
    handler.onMemberUnreachable = [&](const std::string &group, const std::string &member) {
        control.handleSuspicion(group, member);
    };
    handler.onPrimaryFailing = [&](const std::string &group, const std::string &member,
                                   const Evidence &evidence) {
        control.handleFailingPrimary(group, member, evidence);
    };
    handler.onControlRequest = [&](const peer::v1::Frame &frame,
                                   std::function<void(const peer::v1::Frame &)> reply) {
        control.handleRequest(frame, std::move(reply));
    };
    handler.onControlReply = [&](const std::string &vm, const peer::v1::Frame &frame) {
        control.handleReply(vm, frame);
    };
    handler.onPeerLost = [&](const std::string &vm) { control.handlePeerLost(vm); };
    handler.onHandOver = [&] { control.handOver(); };
    handler.onStopped = [mainThread] { pthread_kill(mainThread, SIGUSR1); };
    Traffic traffic(settings, incarnation, std::move(handler), zoneOptions());
    if (const auto error = traffic.start(absl::GetFlag(FLAGS_metrics_port))) {
        logEvent("start.failed", {{"why", *error}});
        std::cerr << *error << '\n';
        stopEventLog();
        return EXIT_FAILURE;
    }
    control.start(traffic);
    waitForSignals(signals, file, settings, control, traffic);
    control.join();
    traffic.join();
    logEvent("stop", {{"vm", settings.name}});
    stopEventLog();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Runs the database proxy of an entry VM.\n"
                                 "gentianplank-entry [--settings FILE] [--metrics_port PORT] "
                                 "[--zone_policy fixed|adaptive]\n"
                                 "                   [--region_link_mbps N] [--check]");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string(Version) + "\n"; };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);

    if (!parseZonePolicy(absl::GetFlag(FLAGS_zone_policy)) ||
        absl::GetFlag(FLAGS_region_link_mbps) <= 0) {
        std::cerr << "--zone_policy must be fixed or adaptive, and --region_link_mbps positive\n";
        return EXIT_FAILURE;
    }
    const std::string file = settingsFile();
    if (file.empty()) {
        std::cerr << "no settings file: pass --settings or set " << platform::SettingsVariable
                  << '\n';
        return EXIT_FAILURE;
    }
    const auto settings = platform::loadProcessSettings(file);
    if (!settings) {
        reportFindings(settings.error());
        return EXIT_FAILURE;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << file << ": no findings\n";
        return EXIT_SUCCESS;
    }
    return serve(file, *settings);
}
