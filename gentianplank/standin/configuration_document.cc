#include "gentianplank/standin/configuration_document.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace gentianplank {

std::string configuration(int version, const std::string &keys)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
 {"host":"ledger","route-kind":"read_your_writes","timeout-ms":1500,"target-latency-ms":1000,
  "priority":1,"service":"g","max-staleness-ms":2000},
 {"host":"main","route-kind":"primary","timeout-ms":1500,"target-latency-ms":600,
  "priority":1,"service":"g"},
 {"host":"open","route-kind":"primary","timeout-ms":1500,"target-latency-ms":600,
  "priority":1,"service":"g","public":true}],
 "services":[{"name":"g","connection-limit":16}],"limits":{"transaction-idle-ms":3000},
 "tenants":[{"name":"org","api-keys":[)" +
           keys + R"(],"rate-per-s":1000000,"burst-size":1000000}]})";
}

std::string configurationOf(int version, std::span<const DocumentOrganisation> organisations)
{
    using Json = nlohmann::json;
    Json tenants = Json::array();
    for (const DocumentOrganisation &it : organisations) {
        tenants.push_back({{"name", it.name},
                           {"api-keys", it.keys},
                           {"rate-per-s", 100000},
                           {"burst-size", 100000}});
    }
    const Json own{{"host", "own"},
                   {"route-kind", "read_your_writes"},
                   {"timeout-ms", 1500},
                   {"target-latency-ms", 1000},
                   {"max-staleness-ms", 2000},
                   {"service", "g"}};
    const Json main{{"host", "main"},
                    {"route-kind", "primary"},
                    {"timeout-ms", 1500},
                    {"target-latency-ms", 600},
                    {"service", "g"}};
    return Json{{"version", version},
                {"routes", {own, main}},
                {"services", {{{"name", "g"}, {"connection-limit", 16}}}},
                {"limits", {{"transaction-idle-ms", 3000}}},
                {"tenants", tenants}}
        .dump();
}

std::string settingsText(const SettingsDocument &settings)
{
    std::ostringstream out;
    out << "node-name = \"" << settings.name << "\"\nip = \"127.0.0.1\"\nzone = \"" << settings.zone
        << "\"\nregion = \"" << settings.region << "\"\ninternal-port-range = ["
        << settings.peerPort << "," << settings.peerPort << "]\n[zones]\n"
        << settings.zone << " = \"" << settings.region << "\"\n[listen-addresses]\nfront = \""
        << settings.callerAddress << "\"\nready = \"" << settings.readyAddress
        << "\"\n[limits]\nfile-descriptors = 1000\nmemory-mb = 160\n[bounds]\nrevoke-ms = "
        << settings.revocationMs << "\ngrace-s = " << settings.graceSeconds
        << "\ndrain-ms = 7000\nconfig-apply-ms = 4000\n[platform]\naddress = \""
        << settings.storeAddress << "\"\n[cloud-api]\naddress = \"" << settings.storeAddress
        << "\"\n";
    return out.str();
}

} // namespace gentianplank
