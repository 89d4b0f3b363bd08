#include "gentianplank/platform/process_settings.h"

#include "gentianplank/http/endpoint.h"

#include <toml++/toml.h>

#include <fstream>
#include <sstream>

namespace gentianplank::platform {

namespace {

// Reads fields of a TOML document and collects findings for missing or invalid ones.
class FieldReader
{
public:
    FieldReader(const toml::table &root, std::string file)
        : m_root(root)
        , m_file(std::move(file))
    {}

    std::string text(const std::string &section, const std::string &key)
    {
        const auto value = at(section, key).value<std::string>();
        if (!value || value->empty()) {
            report(section, key, "must be a non-empty string");
            return "";
        }
        return *value;
    }

    std::string address(const std::string &section, const std::string &key)
    {
        std::string value = text(section, key);
        if (!value.empty() && !parseEndpoint(value)) {
            report(section, key, "'" + value + "' is not IP:PORT");
        }
        return value;
    }

    double number(const std::string &section, const std::string &key, double minimum)
    {
        const auto value = at(section, key).value<double>();
        if (!value || !(*value >= minimum)) {
            report(section, key, "must be a number (minimum " + std::to_string(minimum) + ")");
            return minimum;
        }
        return *value;
    }

    // Reads an optional number.
    double numberOr(const std::string &section, const std::string &key, double defaultValue)
    {
        return at(section, key) ? number(section, key, 0) : defaultValue;
    }

    Duration milliseconds(const std::string &section, const std::string &key)
    {
        return fromSeconds(number(section, key, 0) / 1000);
    }

    Duration seconds(const std::string &section, const std::string &key)
    {
        return fromSeconds(number(section, key, 0));
    }

    void report(const std::string &section, const std::string &key, std::string message)
    {
        const auto node = at(section, key);
        const int line = node ? static_cast<int>(node.node()->source().begin.line) : 0;
        findings.push_back({m_file, line, section, key, std::move(message)});
    }

    toml::node_view<const toml::node> at(const std::string &section, const std::string &key) const
    {
        const toml::node_view<const toml::node> parent(m_root);
        return section.empty() ? parent[key] : parent[section][key];
    }

    std::vector<Finding> findings;

private:
    static Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    const toml::table &m_root;
    std::string m_file;
};

void readPeerPorts(FieldReader &reader, EntryVmSettings &settings)
{
    const auto *ports = reader.at("", "internal-port-range").as_array();
    const auto portAt = [&](size_t index) -> int64_t {
        const toml::node *it = ports == nullptr ? nullptr : ports->get(index);
        return it == nullptr ? 0 : it->value_or<int64_t>(0);
    };
    const int64_t first = portAt(0);
    const int64_t last = portAt(1);
    if (first < 1 || last < first || last > 65535) {
        reader.report("", "internal-port-range",
                      "must be two ports from 1 to 65535, the first not above the last");
        return;
    }
    settings.firstPeerPort = static_cast<uint16_t>(first);
    settings.lastPeerPort = static_cast<uint16_t>(last);
}

void readZones(FieldReader &reader, EntryVmSettings &settings)
{
    const auto *zones = reader.at("", "zones").as_table();
    if (zones == nullptr) {
        reader.report("", "zones", "must be a table of zones and their regions");
        return;
    }
    for (const auto &[zone, region] : *zones) {
        if (const auto name = region.value<std::string>()) {
            settings.regionOfZone[std::string(zone.str())] = *name;
        } else {
            reader.report("zones", std::string(zone.str()), "must be the name of a region");
        }
    }
}

} // namespace

tl::expected<EntryVmSettings, std::vector<Finding>> decodeProcessSettings(std::string_view text,
                                                                          const std::string &file)
{
    toml::table root;
    try {
        root = toml::parse(text);
    } catch (const toml::parse_error &error) {
        return tl::make_unexpected(
            std::vector<Finding>{{file, static_cast<int>(error.source().begin.line), "", "",
                                  std::string(error.description())}});
    }
    FieldReader reader(root, file);
    EntryVmSettings settings;
    settings.name = reader.text("", "node-name");
    settings.place.zone = reader.text("", "zone");
    settings.place.region = reader.text("", "region");
    settings.ip = reader.text("", "ip");
    settings.callerAddress = reader.address("listen-addresses", "front");
    settings.readyAddress = reader.address("listen-addresses", "ready");
    settings.storeAddress = reader.address("platform", "address");
    settings.promotionAddress = reader.address("cloud-api", "address");
    settings.fileDescriptors =
        static_cast<uint32_t>(reader.number("limits", "file-descriptors", 64));
    settings.memoryMb = static_cast<uint32_t>(reader.number("limits", "memory-mb", 32));
    settings.linkMbps =
        static_cast<uint32_t>(reader.numberOr("limits", "link-mbps", settings.linkMbps));
    settings.revocationLimit = reader.milliseconds("bounds", "revoke-ms");
    settings.grace = reader.seconds("bounds", "grace-s");
    settings.drainLimit = reader.milliseconds("bounds", "drain-ms");
    if (reader.at("bounds", "config-apply-ms")) {
        settings.configurationLimit = reader.milliseconds("bounds", "config-apply-ms");
    }
    if (reader.at("bounds", "evacuation-ms")) {
        settings.evacuationLimit = reader.milliseconds("bounds", "evacuation-ms");
    }
    settings.coldOverage = reader.numberOr("bounds", "cold-overage", settings.coldOverage);
    settings.coldSlack = reader.numberOr("bounds", "cold-slack", settings.coldSlack);
    readPeerPorts(reader, settings);
    readZones(reader, settings);
    if (!reader.findings.empty()) {
        return tl::make_unexpected(std::move(reader.findings));
    }
    return settings;
}

tl::expected<EntryVmSettings, std::vector<Finding>> loadProcessSettings(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        return tl::make_unexpected(std::vector<Finding>{{file, 0, "", "", "can't be read"}});
    }
    std::ostringstream text;
    text << in.rdbuf();
    return decodeProcessSettings(text.str(), file);
}

} // namespace gentianplank::platform
