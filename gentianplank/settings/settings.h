// The daemon's settings. They are read from an INI file, and all errors are reported together.
//
//     auto settings = loadSettings("/etc/gentianplank.ini");
//     if (!settings) {
//         for (const Finding &it : settings.error()) { std::cerr << toString(it) << '\n'; }
//     }
#pragma once

#include "gentianplank/base/time.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// An error in the settings, with its location.
struct Finding
{
    std::string file;
    // Line number from 1; 0 if the error has no line, such as a missing key.
    int line = 0;
    std::string section;
    std::string key;
    std::string message;
};

// Formats a finding as "file:line: [section] key: message", without the parts that are not set.
std::string toString(const Finding &finding);

// Identity and location of this VM.
struct VmSettings
{
    std::string name;
    std::string zone;
    std::string region;
};

// Listen addresses, each as "IP:port". `metrics` is optional.
struct ListenSettings
{
    std::string callers;
    std::string peers;
    std::string metrics;
};

// Address of the platform's services, as "IP:port".
struct PlatformSettings
{
    std::string address;
};

// TLS setup with paths of PEM files. TLS is off only where a flag says so: for all connections, or
// only for those to the targets or to the platform.
struct TlsSettings
{
    bool plainText = false;
    bool targetsPlainText = false;
    bool platformPlainText = false;
    std::string certificateFile;
    std::string keyFile;
    std::string authorityFile;
};

// Paths of files with secrets. Their contents are never logged.
struct SecretSettings
{
    std::string sessionSecretFile;
    std::string operatorKeyFile;
};

struct LimitSettings
{
    // Maximum number of requests that wait for a target or a primary.
    int queuedRequests = 1000;
    // How long shutdown waits for running requests.
    Duration shutdownGrace = std::chrono::seconds(30);
};

struct Settings
{
    VmSettings vm;
    ListenSettings listen;
    PlatformSettings platform;
    TlsSettings tls;
    SecretSettings secrets;
    LimitSettings limits;
};

// Reads and validates a settings file and the files that it refers to. The error lists all findings
// and never contains a secret. Thread-safe.
tl::expected<Settings, std::vector<Finding>> loadSettings(const std::string &file);

// Parses and validates settings text without reading any file; `file` is the name for findings.
// Thread-safe.
tl::expected<Settings, std::vector<Finding>> parseSettings(std::string_view text,
                                                           const std::string &file);

// Returns the description of all sections and keys for the daemon's help.
std::string settingsHelp();

// Returns the content of `file` without trailing line ends, or an empty string if the file can't be
// read. Thread-safe.
std::string readSecretFile(const std::string &file);

} // namespace gentianplank
