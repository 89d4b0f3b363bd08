#include "gentianplank/target/group_record.h"

#include <nlohmann/json.hpp>

namespace gentianplank {

std::string encodeGroupRecord(const GroupRecord &record)
{
    nlohmann::json json{{"group", record.group},
                        {"epoch", record.epoch},
                        {"changing", record.phase == GroupPhase::Changing},
                        {"primary", record.primary},
                        {"primary_born_at", record.primaryStartedAtMs},
                        {"term", record.term},
                        {"orderly", record.isOrderly},
                        {"writer", record.writer}};
    if (record.era) {
        json["era"] = *record.era;
    }
    if (record.promoted) {
        json["promoted"] = *record.promoted;
    }
    return json.dump();
}

tl::expected<GroupRecord, std::string> decodeGroupRecord(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        GroupRecord record;
        record.group = json.at("group").get<std::string>();
        record.epoch = json.at("epoch").get<uint64_t>();
        record.phase = json.at("changing").get<bool>() ? GroupPhase::Changing : GroupPhase::Serving;
        record.primary = json.at("primary").get<std::string>();
        record.primaryStartedAtMs = json.at("primary_born_at").get<int64_t>();
        record.term = json.at("term").get<uint64_t>();
        record.isOrderly = json.at("orderly").get<bool>();
        record.writer = json.at("writer").get<std::string>();
        if (json.contains("era")) {
            record.era = json.at("era").get<uint64_t>();
        }
        if (json.contains("promoted")) {
            record.promoted = json.at("promoted").get<std::vector<std::string>>();
        }
        return record;
    } catch (const nlohmann::json::exception &error) {
        return tl::make_unexpected(std::string(error.what()));
    }
}

bool mayUsePrimary(const PrimaryLease &lease, BootInstant now)
{
    return lease.record.phase == GroupPhase::Serving && now - lease.provenAt < PrimaryLeaseDuration;
}

} // namespace gentianplank
