#include "gentianplank/settings/settings.h"

#include "gentianplank/settings/ini_document.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace gentianplank {

namespace {

// Parses a value and stores it in the settings. Returns an error message, or an empty string.
using ValueParser = std::function<std::string(const std::string &, Settings &)>;

struct KeyRule
{
    std::string section;
    std::string key;
    bool required;
    std::string help;
    ValueParser parse;
};

constexpr Duration MinShutdownGrace = std::chrono::milliseconds(100);
constexpr Duration MaxShutdownGrace = std::chrono::minutes(10);
constexpr size_t MinSessionSecretBytes = 16;
constexpr std::string_view NameCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
constexpr std::string_view PemPrefix = "-----BEGIN ";

// Collects findings, and knows the line of each key that is set.
struct FindingCollector
{
    std::string file;
    std::map<std::pair<std::string, std::string>, int> lines;
    std::vector<Finding> findings;

    void add(const std::string &section, const std::string &key, const std::string &message)
    {
        const auto it = lines.find({section, key});
        findings.push_back({file, it == lines.end() ? 0 : it->second, section, key, message});
    }

    bool isSet(const std::string &section, const std::string &key) const
    {
        return lines.contains({section, key});
    }
};

std::optional<int> parseInt(std::string_view digits)
{
    int number = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (ec != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return number;
}

// Accepts 127.0.0.1:7000 and [::1]:7000. The port must not be 0.
bool isIpAndPort(std::string_view value)
{
    const size_t colon = value.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    std::string host(value.substr(0, colon));
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(host, ec);
    const std::optional<int> port = parseInt(value.substr(colon + 1));
    return !ec && ip.is_v6() == bracketed && port && *port > 0 && *port < 65536;
}

// Restricts the characters, as names are used in tables, logs and metrics.
ValueParser nameParser(std::string &(*field)(Settings &))
{
    return [field](const std::string &value, Settings &settings) -> std::string {
        if (value.empty() || value.find_first_not_of(NameCharacters) != std::string::npos) {
            return "must be letters, digits, '-', '_' and '.', not '" + value + "'";
        }
        field(settings) = value;
        return {};
    };
}

ValueParser textParser(std::string &(*field)(Settings &))
{
    return [field](const std::string &value, Settings &settings) -> std::string {
        if (value.empty()) {
            return "must not be empty";
        }
        field(settings) = value;
        return {};
    };
}

ValueParser addressParser(std::string &(*field)(Settings &))
{
    return [field](const std::string &value, Settings &settings) -> std::string {
        if (!isIpAndPort(value)) {
            return "must be an IP number and port such as 127.0.0.1:7000, not '" + value + "'";
        }
        field(settings) = value;
        return {};
    };
}

ValueParser flagParser(bool &(*field)(Settings &))
{
    return [field](const std::string &value, Settings &settings) -> std::string {
        if (value != "yes" && value != "no") {
            return "must be yes or no, not '" + value + "'";
        }
        field(settings) = value == "yes";
        return {};
    };
}

ValueParser intParser(int &(*field)(Settings &), int minimum, int maximum)
{
    return [field, minimum, maximum](const std::string &value, Settings &settings) -> std::string {
        const std::optional<int> number = parseInt(value);
        if (!number || *number < minimum || *number > maximum) {
            return "must be a whole number from " + std::to_string(minimum) + " to " +
                   std::to_string(maximum) + ", not '" + value + "'";
        }
        field(settings) = *number;
        return {};
    };
}

ValueParser durationParser(Duration &(*field)(Settings &), Duration minimum, Duration maximum)
{
    return [=](const std::string &value, Settings &settings) -> std::string {
        const size_t unit = value.find_first_not_of("0123456789");
        const std::optional<int> number = parseInt(std::string_view(value).substr(0, unit));
        const std::string suffix = unit == std::string::npos ? "" : value.substr(unit);
        if (!number || (suffix != "ms" && suffix != "s")) {
            return "must be a duration with the unit ms or s, such as 30s, not '" + value + "'";
        }
        const Duration parsed = suffix == "s" ? Duration(std::chrono::seconds(*number))
                                              : Duration(std::chrono::milliseconds(*number));
        if (parsed < minimum || parsed > maximum) {
            return "must be from " + std::to_string(toMilliseconds(minimum)) + "ms to " +
                   std::to_string(toMilliseconds(maximum)) + "ms, not '" + value + "'";
        }
        field(settings) = parsed;
        return {};
    };
}

const std::vector<KeyRule> &keyRules()
{
    static const std::vector<KeyRule> rules{
        {"vm", "name", true, "this VM's name, unique in the fleet",
         nameParser([](Settings &s) -> std::string & { return s.vm.name; })},
        {"vm", "zone", true, "its availability zone",
         nameParser([](Settings &s) -> std::string & { return s.vm.zone; })},
        {"vm", "region", true, "the zone's region",
         nameParser([](Settings &s) -> std::string & { return s.vm.region; })},
        {"listen", "callers", true, "IP:port for callers and operators",
         addressParser([](Settings &s) -> std::string & { return s.listen.callers; })},
        {"listen", "peers", true, "IP:port for the other VMs",
         addressParser([](Settings &s) -> std::string & { return s.listen.peers; })},
        {"listen", "metrics", false, "IP:port for Prometheus; no metrics without it",
         addressParser([](Settings &s) -> std::string & { return s.listen.metrics; })},
        {"platform", "address", true, "IP:port of the platform's services",
         addressParser([](Settings &s) -> std::string & { return s.platform.address; })},
        {"tls", "plain_text", false, "yes: no TLS at all",
         flagParser([](Settings &s) -> bool & { return s.tls.plainText; })},
        {"tls", "targets_plain_text", false, "yes: no TLS towards targets",
         flagParser([](Settings &s) -> bool & { return s.tls.targetsPlainText; })},
        {"tls", "platform_plain_text", false, "yes: no TLS towards the platform",
         flagParser([](Settings &s) -> bool & { return s.tls.platformPlainText; })},
        {"tls", "certificate_file", false, "PEM: this VM's certificate, for its IP number",
         textParser([](Settings &s) -> std::string & { return s.tls.certificateFile; })},
        {"tls", "key_file", false, "PEM: the certificate's private key",
         textParser([](Settings &s) -> std::string & { return s.tls.keyFile; })},
        {"tls", "authority_file", false, "PEM: the authority of VMs, targets and platform",
         textParser([](Settings &s) -> std::string & { return s.tls.authorityFile; })},
        {"secrets", "session_secret_file", true, "signs session tokens; the same at every VM",
         textParser([](Settings &s) -> std::string & { return s.secrets.sessionSecretFile; })},
        {"secrets", "operator_key_file", true, "the operators' key; the same at every VM",
         textParser([](Settings &s) -> std::string & { return s.secrets.operatorKeyFile; })},
        {"limits", "queued_requests", false,
         "requests that may wait for a target or a primary, 1 to 1000000; 1000 by default",
         intParser([](Settings &s) -> int & { return s.limits.queuedRequests; }, 1, 1000000)},
        {"limits", "shutdown_grace", false,
         "how long a shutdown waits for running requests, 100ms to 600s; 30s by default",
         durationParser([](Settings &s) -> Duration & { return s.limits.shutdownGrace; },
                        MinShutdownGrace, MaxShutdownGrace)},
    };
    return rules;
}

const KeyRule *findRule(const IniEntry &entry)
{
    for (const KeyRule &it : keyRules()) {
        if (it.section == entry.section && it.key == entry.key) {
            return &it;
        }
    }
    return nullptr;
}

void checkTls(const TlsSettings &tls, FindingCollector &collector)
{
    const std::pair<std::string, const std::string &> files[] = {
        {"certificate_file", tls.certificateFile},
        {"key_file", tls.keyFile},
        {"authority_file", tls.authorityFile}};
    const bool anyFile = std::any_of(std::begin(files), std::end(files),
                                     [](const auto &it) { return !it.second.empty(); });
    if (tls.plainText && anyFile) {
        collector.add("tls", "plain_text", "contradicts the TLS files");
    }
    if (tls.plainText) {
        return;
    }
    if (!anyFile) {
        collector.add("tls", "certificate_file",
                      "TLS needs certificate_file, key_file and authority_file, or "
                      "plain_text = yes");
        return;
    }
    for (const auto &[key, file] : files) {
        if (file.empty() && !collector.isSet("tls", key)) {
            collector.add("tls", key, "is missing, but other TLS files are set");
        }
    }
}

void checkAddresses(const Settings &settings, FindingCollector &collector)
{
    struct AddressSetting
    {
        std::string section;
        std::string key;
        const std::string &address;
    };
    const AddressSetting addresses[] = {{"listen", "callers", settings.listen.callers},
                                        {"listen", "peers", settings.listen.peers},
                                        {"listen", "metrics", settings.listen.metrics},
                                        {"platform", "address", settings.platform.address}};
    std::map<std::string, const AddressSetting *> seen;
    for (const AddressSetting &it : addresses) {
        const auto [existing, isNew] = seen.emplace(it.address, &it);
        if (!isNew && !it.address.empty()) {
            collector.add(it.section, it.key,
                          "is the same address as [" + existing->second->section + "] " +
                              existing->second->key);
        }
    }
}

void checkZoneAndRegion(const VmSettings &vm, FindingCollector &collector)
{
    if (!vm.zone.empty() && vm.zone == vm.region) {
        collector.add("vm", "region", "is the name of the zone, not of its region");
    }
}

std::optional<std::string> readFile(const std::string &file)
{
    std::ifstream in(file, std::ios::binary);
    std::string content{std::istreambuf_iterator<char>(in), {}};
    if (!in.good() && !in.eof()) {
        return std::nullopt;
    }
    return content;
}

void checkPemFile(const std::string &key, const std::string &file, FindingCollector &collector)
{
    if (file.empty()) {
        return;
    }
    const std::optional<std::string> content = readFile(file);
    if (!content) {
        collector.add("tls", key, "the file '" + file + "' can't be read");
    } else if (content->find(PemPrefix) == std::string::npos) {
        collector.add("tls", key, "the file '" + file + "' holds no PEM data");
    }
}

void checkSecretFile(const std::string &key, const std::string &file, size_t minimum,
                     FindingCollector &collector)
{
    if (file.empty()) {
        return;
    }
    if (!readFile(file)) {
        collector.add("secrets", key, "the file '" + file + "' can't be read");
    } else if (readSecretFile(file).size() < minimum) {
        collector.add("secrets", key,
                      "the file '" + file + "' holds less than " + std::to_string(minimum) +
                          " characters");
    }
}

void checkFiles(const Settings &settings, FindingCollector &collector)
{
    checkPemFile("certificate_file", settings.tls.certificateFile, collector);
    checkPemFile("key_file", settings.tls.keyFile, collector);
    checkPemFile("authority_file", settings.tls.authorityFile, collector);
    checkSecretFile("session_secret_file", settings.secrets.sessionSecretFile,
                    MinSessionSecretBytes, collector);
    checkSecretFile("operator_key_file", settings.secrets.operatorKeyFile, 1, collector);
}

// Parses all valid entries; errors are added to `collector`.
Settings readAndCheck(std::string_view text, FindingCollector &collector)
{
    const IniDocument document = parseIni(text);
    Settings settings;
    for (const int line : document.badLines) {
        collector.findings.push_back(
            {collector.file, line, "", "", "is not 'key = value' or '[section]'"});
    }
    for (const IniEntry &it : document.entries) {
        const KeyRule *rule = findRule(it);
        if (rule == nullptr) {
            collector.findings.push_back(
                {collector.file, it.line, it.section, it.key, "is not a known key"});
            continue;
        }
        const auto [existing, isNew] =
            collector.lines.emplace(std::pair(it.section, it.key), it.line);
        if (!isNew) {
            collector.findings.push_back(
                {collector.file, it.line, it.section, it.key,
                 "is already set in line " + std::to_string(existing->second)});
            continue;
        }
        const std::string error = rule->parse(it.value, settings);
        if (!error.empty()) {
            collector.add(it.section, it.key, error);
        }
    }
    for (const KeyRule &it : keyRules()) {
        if (it.required && !collector.isSet(it.section, it.key)) {
            collector.add(it.section, it.key, "is missing");
        }
    }
    checkTls(settings.tls, collector);
    checkAddresses(settings, collector);
    checkZoneAndRegion(settings.vm, collector);
    return settings;
}

tl::expected<Settings, std::vector<Finding>> settingsOrFindings(const Settings &settings,
                                                                const FindingCollector &collector)
{
    if (!collector.findings.empty()) {
        return tl::unexpected(collector.findings);
    }
    return settings;
}

} // namespace

std::string toString(const Finding &finding)
{
    std::string result = finding.file;
    if (finding.line > 0) {
        result += ":" + std::to_string(finding.line);
    }
    if (!finding.section.empty()) {
        result += ": [" + finding.section + "] " + finding.key;
    }
    return result + ": " + finding.message;
}

tl::expected<Settings, std::vector<Finding>> parseSettings(std::string_view text,
                                                           const std::string &file)
{
    FindingCollector collector{file, {}, {}};
    const Settings settings = readAndCheck(text, collector);
    return settingsOrFindings(settings, collector);
}

tl::expected<Settings, std::vector<Finding>> loadSettings(const std::string &file)
{
    const std::optional<std::string> content = readFile(file);
    if (!content) {
        return tl::unexpected(std::vector<Finding>{{file, 0, "", "", "can't be read"}});
    }
    FindingCollector collector{file, {}, {}};
    const Settings settings = readAndCheck(*content, collector);
    checkFiles(settings, collector);
    return settingsOrFindings(settings, collector);
}

std::string settingsHelp()
{
    std::string help;
    std::string section;
    for (const KeyRule &it : keyRules()) {
        if (it.section != section) {
            section = it.section;
            help += "  [" + section + "]\n";
        }
        help += "  " + it.key + " = ...    " + (it.required ? "(required) " : "") + it.help + '\n';
    }
    return help;
}

std::string readSecretFile(const std::string &file)
{
    std::ifstream in(file, std::ios::binary);
    std::string secret{std::istreambuf_iterator<char>(in), {}};
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
        secret.pop_back();
    }
    return secret;
}

} // namespace gentianplank
