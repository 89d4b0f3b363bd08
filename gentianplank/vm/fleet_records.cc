#include "gentianplank/vm/fleet_records.h"

#include "gentianplank/base/rendezvous.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <unordered_map>

namespace gentianplank {

namespace {

template <typename Record, typename Read>
tl::expected<Record, std::string> decode(std::string_view text, Read read)
{
    try {
        const auto json = nlohmann::json::parse(text);
        Record record;
        read(json, record);
        return record;
    } catch (const nlohmann::json::exception &error) {
        return tl::make_unexpected(std::string(error.what()));
    }
}

void encodeEra(const std::optional<uint64_t> &era, nlohmann::json &json)
{
    if (era) {
        json["era"] = *era;
    }
}

std::optional<uint64_t> decodeEra(const nlohmann::json &json)
{
    return json.contains("era") ? std::optional<uint64_t>(json.at("era").get<uint64_t>())
                                : std::nullopt;
}

} // namespace

std::string encodeVmRecord(const VmRecord &record)
{
    nlohmann::json json{{"name", record.name},
                        {"peer_address", record.peerAddress},
                        {"zone", record.place.zone},
                        {"region", record.place.region},
                        {"incarnation", record.incarnation},
                        {"leaving", record.isLeaving},
                        {"link_mbps", record.linkMbps}};
    encodeEra(record.era, json);
    return json.dump();
}

tl::expected<VmRecord, std::string> decodeVmRecord(std::string_view text)
{
    return decode<VmRecord>(text, [](const nlohmann::json &json, VmRecord &record) {
        record.name = json.at("name").get<std::string>();
        record.peerAddress = json.at("peer_address").get<std::string>();
        record.place.zone = json.at("zone").get<std::string>();
        record.place.region = json.at("region").get<std::string>();
        record.incarnation = json.at("incarnation").get<uint64_t>();
        record.isLeaving = json.at("leaving").get<bool>();
        record.linkMbps = json.value("link_mbps", 0U);
        record.era = decodeEra(json);
    });
}

std::string encodeDutyRecord(const DutyRecord &record)
{
    nlohmann::json json{{"holder", record.holder},
                        {"incarnation", record.incarnation},
                        {"configuration_revision", record.configurationRevision}};
    encodeEra(record.era, json);
    return json.dump();
}

tl::expected<DutyRecord, std::string> decodeDutyRecord(std::string_view text)
{
    return decode<DutyRecord>(text, [](const nlohmann::json &json, DutyRecord &record) {
        record.holder = json.at("holder").get<std::string>();
        record.incarnation = json.at("incarnation").get<uint64_t>();
        record.era = decodeEra(json);
        record.configurationRevision = json.value("configuration_revision", uint64_t{0});
    });
}

std::vector<const VmRecord *> dispatchersFor(std::string_view memberId, const Place &memberPlace,
                                             std::span<const VmRecord> vms)
{
    std::map<Distance, std::vector<std::string>> names;
    std::unordered_map<std::string_view, const VmRecord *> byName;
    for (const VmRecord &it : vms) {
        if (!it.isLeaving) {
            names[distanceBetween(it.place, memberPlace)].push_back(it.name);
            byName[it.name] = &it;
        }
    }
    std::vector<const VmRecord *> ranked;
    for (const Distance distance :
         {Distance::SameZone, Distance::SameRegion, Distance::OtherRegion}) {
        for (const std::string &name :
             rankByRendezvous(memberId, names[distance], MaxVmsPerDistance)) {
            ranked.push_back(byName[name]);
        }
    }
    return ranked;
}

} // namespace gentianplank
