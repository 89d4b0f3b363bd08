// Explains to operators where this VM would send a statement now: every check with its inputs, age
// and outcome, every member with its cost, the choice, and why the others lost.
//
//     const auto query = parseExplainQuery("/explain?database=ledger&organisation=org&kind=read");
//     if (query) { answer(explanationText(explain(*query, facts))); }
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/node/traffic/rate_exchange.h"
#include "gentianplank/node/traffic/statement_router.h"

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gentianplank {

inline constexpr std::string_view ExplainPath = "/explain";

struct ExplainQuery
{
    std::string database;
    // The organisation by name, or by the beginning of its key's digest in hexadecimal digits. Both
    // empty: a caller without a key.
    std::string organisation;
    std::string keyDigest;
    bool isWrite = false;
    // The id that the adaptive zone policy draws by.
    std::string requestId;
    bool isJson = false;
};

// Parses the target of a GET request. Fails with a message that names the wrong parameter.
// Thread-safe.
tl::expected<ExplainQuery, std::string> parseExplainQuery(std::string_view target);

// What the VM decides from. The functions must neither send anything nor take tokens.
struct ExplainFacts
{
    std::string vm;
    Place place;
    ZonePolicy zonePolicy = ZonePolicy::Fixed;
    std::shared_ptr<const FleetView> view;
    // Whether statements are served by the configuration, the age of its proof, and the age up to
    // which it counts.
    bool isConfigurationProven = false;
    Duration configurationProofAge{0};
    Duration configurationProofLifetime{0};
    std::function<std::optional<RateStatus>(const std::string &organisation)> rateOf;
    // The age of the newest proof that the record is in force.
    std::function<Duration(const GroupRecord &record)> primaryProofAge;
    std::function<AttemptPlan(const RoutedStatement &statement)> plan;
};

// Returns the explanation as a JSON object with "checks", "members", "choice" and "result". It
// contains no key. Checks after the one that would refuse the statement are listed too, as far as
// their inputs are known.
nlohmann::ordered_json explain(const ExplainQuery &query, const ExplainFacts &facts);

// Returns the explanation as indented JSON.
std::string explanationJson(const nlohmann::ordered_json &explanation);

// Returns the explanation as lines of text.
std::string explanationText(const nlohmann::ordered_json &explanation);

} // namespace gentianplank
