#include "gentianplank/node/traffic/explain.h"

#include "gentianplank/base/digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

namespace gentianplank {

namespace {

using Json = nlohmann::ordered_json;

constexpr double MicrosecondsPerMillisecond = 1000;
constexpr char HexDigits[] = "0123456789abcdef";
// Shorter digests may belong to several keys.
constexpr size_t MinDigestDigits = 8;
constexpr char Refused[] = "refused";
constexpr char Passed[] = "passed";

double ms(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerMillisecond;
}

// Decodes %XX and "+"; nothing if the text is malformed.
std::optional<std::string> decodePercent(std::string_view text)
{
    std::string result;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result += text[i] == '+' ? ' ' : text[i];
            continue;
        }
        unsigned value = 0;
        const std::string_view digits = text.substr(i + 1, 2);
        const auto parsed =
            std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (digits.size() != 2 || parsed.ptr != digits.data() + digits.size()) {
            return std::nullopt;
        }
        result += static_cast<char>(value);
        i += 2;
    }
    return result;
}

bool setParameter(ExplainQuery &query, std::string_view name, const std::string &value)
{
    if (name == "database") {
        query.database = value;
    } else if (name == "organisation") {
        query.organisation = value;
    } else if (name == "key-digest") {
        query.keyDigest = value;
        return value.size() >= MinDigestDigits;
    } else if (name == "request-id") {
        query.requestId = value;
    } else if (name == "kind") {
        query.isWrite = value == "write";
        return query.isWrite || value == "read";
    } else if (name == "format") {
        query.isJson = value == "json";
        return query.isJson || value == "text";
    } else {
        return false;
    }
    return true;
}

std::string hex(std::string_view bytes)
{
    std::string result;
    for (const char it : bytes) {
        const auto byte = static_cast<unsigned char>(it);
        result += HexDigits[byte / 16U];
        result += HexDigits[byte % 16U];
    }
    return result;
}

// Returns the organisation that the query names, or nullptr.
const OrganisationLimits *organisationOf(const ExplainQuery &query, const Routing &routing)
{
    if (!query.organisation.empty()) {
        const auto it = routing.organisations.find(query.organisation);
        return it == routing.organisations.end() ? nullptr : &it->second;
    }
    if (query.keyDigest.empty()) {
        return nullptr;
    }
    for (const auto &[key, name] : routing.organisationByKey) {
        if (hex(keyDigest(key)).starts_with(query.keyDigest)) {
            return routing.organisationOfKey(key);
        }
    }
    return nullptr;
}

// Collects the checks in their order; the first one that fails decides.
struct Checks
{
    void add(std::string name, const std::string &refusal, Json inputs)
    {
        Json check{{"check", std::move(name)}, {"outcome", refusal.empty() ? Passed : Refused}};
        if (!refusal.empty()) {
            check["reason"] = refusal;
            firstRefusal = firstRefusal.empty() ? refusal : firstRefusal;
        }
        check["inputs"] = std::move(inputs);
        list.push_back(std::move(check));
    }

    Json list = Json::array();
    std::string firstRefusal;
};

void checkConfiguration(Checks &checks, const ExplainFacts &facts)
{
    const auto &routing = facts.view->routing;
    checks.add("configuration",
               facts.isConfigurationProven ? ""
                                           : "no configuration is proven to be in force on this VM",
               {{"revision", routing ? routing->revision : 0},
                {"proof_age_ms", ms(facts.configurationProofAge)},
                {"proof_lifetime_ms", ms(facts.configurationProofLifetime)}});
}

const DatabaseRoute *checkRoute(Checks &checks, const ExplainQuery &query, const Routing &routing)
{
    const DatabaseRoute *route = routing.routeOf(query.database);
    Json inputs{{"database", query.database}};
    if (route != nullptr) {
        constexpr std::array<const char *, 3> consistencies = {"primary", "bounded staleness",
                                                               "read your writes"};
        inputs.update({{"group", route->group},
                       {"consistency", consistencies.at(static_cast<size_t>(route->consistency))},
                       {"staleness_ms", ms(route->staleness)},
                       {"objective_ms", ms(route->objective)},
                       {"timeout_ms", ms(route->timeout)},
                       {"priority", route->priority},
                       {"public", route->isPublic}});
    }
    checks.add("route", route == nullptr ? "no route serves this database name" : "",
               std::move(inputs));
    return route;
}

// Returns the organisation's name, or AnonymousOrganisation for a caller without one.
std::string checkOrganisation(Checks &checks, const ExplainQuery &query, const ExplainFacts &facts,
                              const Routing &routing, const DatabaseRoute *route)
{
    const OrganisationLimits *holder = organisationOf(query, routing);
    const bool isAllowed =
        holder != nullptr || (route != nullptr && organisationOfCaller(*route, holder));
    std::string name(holder == nullptr ? AnonymousOrganisation : holder->name);
    checks.add("organisation", isAllowed ? "" : "the API key is unknown or was withdrawn",
               {{"organisation", name}});
    if (holder == nullptr) {
        return name;
    }
    const auto rate = facts.rateOf(holder->name);
    Json inputs{{"per_second", holder->perSecond}, {"burst", holder->burst}};
    if (rate) {
        inputs.update({{"tokens_here", rate->tokens},
                       {"share_per_second", rate->sharePerSecond},
                       {"owners", rate->owners},
                       {"waiting", rate->waiting}});
    }
    // Other owners may have tokens, so that too few here only mean that they are asked first.
    inputs["asks_other_vms"] = !rate || rate->tokens < 1;
    checks.add("rate", "", std::move(inputs));
    return name;
}

void checkPrimary(Checks &checks, const ExplainFacts &facts, const std::string &group,
                  const AttemptPlan &plan)
{
    const auto record = facts.view->groups.find(group);
    Json inputs{{"required", plan.needsPrimary}, {"usable", plan.usablePrimary.has_value()}};
    if (record != facts.view->groups.end()) {
        inputs.update(
            {{"primary", record->second.primary},
             {"epoch", record->second.epoch},
             {"phase", record->second.phase == GroupPhase::Serving ? "serving" : "changing"},
             {"lease_age_ms", ms(facts.primaryProofAge(record->second))},
             {"lease_lifetime_ms", ms(PrimaryLeaseDuration)}});
    }
    const bool isMissing = plan.needsPrimary && !plan.usablePrimary;
    checks.add("primary", isMissing ? "the group has no usable primary" : "", std::move(inputs));
}

Json costOf(const ReadCandidate &candidate)
{
    const ReadCost cost = readCost(candidate);
    const Duration known =
        cost.distance + cost.wait + cost.inFlight + cost.primary + cost.lag + cost.failed;
    Json json{{"distance_ms", ms(cost.distance)},
              {"wait_ms", ms(cost.wait)},
              {"in_flight_ms", ms(cost.inFlight)},
              {"primary_ms", ms(cost.primary)},
              {"lag_ms", ms(cost.lag)},
              {"failed_ms", ms(cost.failed)},
              {"total_ms", ms(total(cost))}};
    if (total(cost) != known) {
        json["other_ms"] = ms(total(cost) - known);
    }
    return json;
}

// Why an eligible member was not chosen.
std::string reasonOf(const MemberAssessment &member, const AttemptPlan &plan)
{
    const MemberAssessment &chosen = plan.members.front();
    if (chosen.zoneChoice.member) {
        if (!member.zone) {
            return "has other costs than distance, load and role";
        }
        if (chosen.zoneChoice.isKeptInRegion && member.zone->distance == Distance::OtherRegion) {
            return "the link between regions is used up";
        }
        return "not chosen by the shares for this request id";
    }
    const Duration more = total(readCost(member.candidate)) - total(readCost(chosen.candidate));
    return more > Duration::zero() ? "costs " + Json(ms(more)).dump() + " ms more"
                                   : "costs the same and has the later name";
}

Json zoneOf(const ZoneMember &zone, const AttemptPlan &plan)
{
    const MemberClass memberClass = memberClassOf(zone.distance, zone.isPrimary);
    return {{"class", toString(memberClass)},
            {"share", plan.shares ? (*plan.shares)[static_cast<size_t>(memberClass)] : 0.0},
            {"path_ms", ms(zone.path)},
            {"discounted_wait_ms", ms(discountedWait(zone))},
            {"expected_ms", ms(expectedTime(zone))}};
}

Json memberJson(const MemberAssessment &member, const AttemptPlan &plan, const FleetView &view,
                bool isChosen)
{
    const ReadCandidate &candidate = member.candidate;
    const FleetMember &known = view.members.at(candidate.id);
    const bool isEligible = member.exclusion == Exclusion::None;
    Json json{{"member", candidate.id},
              {"zone", known.place.zone},
              {"region", known.place.region},
              {"role", candidate.isPrimary ? "primary" : "replica"},
              {"outcome", isChosen     ? "chosen"
                          : isEligible ? "eligible"
                                       : "excluded"}};
    if (!isChosen) {
        json["reason"] = isEligible ? reasonOf(member, plan) : toString(member.exclusion);
    }
    json["dispatcher"] = member.dispatcher;
    json["slots"] = candidate.slots;
    json["in_flight"] = candidate.inFlight;
    json["report_age_ms"] = candidate.reportAge ? Json(ms(*candidate.reportAge)) : Json();
    json["cost"] = costOf(candidate);
    if (member.zone) {
        json["balance"] = zoneOf(*member.zone, plan);
    }
    return json;
}

// Adds the members and the choice of an attempt.
void explainAttempt(Json &json, Checks &checks, const ExplainFacts &facts, const AttemptPlan &plan)
{
    const MemberAssessment *best = bestMember(plan.members);
    const auto lasting = lastingExclusion(plan.members, plan.needsPrimary);
    std::string refusal = lasting ? "every member that could run it is " : "";
    refusal += lasting ? std::string(toString(*lasting)) : "no member of the group may run it now";
    checks.add("member", best == nullptr ? refusal : "",
               {{"members", plan.members.size()}, {"waits_for_change", !best && !lasting}});
    Json members = Json::array();
    for (const MemberAssessment &it : plan.members) {
        members.push_back(memberJson(it, plan, *facts.view, &it == best));
    }
    json["checks"] = checks.list;
    json["members"] = std::move(members);
    if (best == nullptr) {
        return;
    }
    json["choice"] = {
        {"member", best->candidate.id},
        {"dispatcher", best->dispatcher},
        {"dispatched_here", best->dispatcher == facts.vm},
        {"expected_wait_ms", ms(best->candidate.expectedWait)},
        {"by", best->zoneChoice.member ? "shares" : "constant costs"},
        {"urgent", best->zoneChoice.isUrgent},
    };
}

// Renders a flat object as " name=value ...", nested ones with their names as prefix.
std::string fieldsOf(const Json &json, const std::string &prefix = "")
{
    std::string text;
    for (const auto &[name, value] : json.items()) {
        if (value.is_object()) {
            text += fieldsOf(value, prefix + name + ".");
            continue;
        }
        text += ' ';
        text += prefix;
        text += name;
        text += '=';
        text += value.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    return text;
}

} // namespace

tl::expected<ExplainQuery, std::string> parseExplainQuery(std::string_view target)
{
    ExplainQuery query;
    const size_t mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view parameter = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
        const size_t equals = std::min(parameter.find('='), parameter.size());
        const std::string_view name = parameter.substr(0, equals);
        const auto value = decodePercent(parameter.substr(std::min(parameter.size(), equals + 1)));
        if (!value || !setParameter(query, name, *value)) {
            return tl::make_unexpected("invalid parameter " + std::string(name));
        }
    }
    if (query.database.empty()) {
        return tl::make_unexpected(std::string("missing parameter database"));
    }
    return query;
}

Json explain(const ExplainQuery &query, const ExplainFacts &facts)
{
    Json json{{"vm", facts.vm},
              {"zone", facts.place.zone},
              {"region", facts.place.region},
              {"database", query.database},
              {"kind", query.isWrite ? "write" : "read"},
              {"request_id", query.requestId},
              {"zone_policy", facts.zonePolicy == ZonePolicy::Fixed ? "fixed" : "adaptive"}};
    Checks checks;
    checkConfiguration(checks, facts);
    const DatabaseRoute *route = nullptr;
    std::string organisation;
    if (facts.view->routing) {
        route = checkRoute(checks, query, *facts.view->routing);
        organisation = checkOrganisation(checks, query, facts, *facts.view->routing, route);
    }
    if (route == nullptr) {
        json["checks"] = checks.list;
    } else {
        RoutedStatement statement = routedStatement(*route);
        statement.statement.kind = query.isWrite ? ForwardKind::Write : ForwardKind::Read;
        statement.statement.requestId = query.requestId;
        statement.statement.organisation = organisation;
        statement.arrivedAt = bootNow();
        statement.deadline = steadyNow() + route->timeout;
        const AttemptPlan plan = facts.plan(statement);
        checkPrimary(checks, facts, route->group, plan);
        explainAttempt(json, checks, facts, plan);
    }
    json["result"] = checks.firstRefusal.empty() ? "sent" : "not sent: " + checks.firstRefusal;
    return json;
}

std::string explanationJson(const Json &explanation)
{
    return explanation.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string explanationText(const Json &explanation)
{
    Json head = explanation;
    for (const char *const section : {"checks", "members", "choice", "result"}) {
        head.erase(section);
    }
    std::string text = "statement" + fieldsOf(head) + "\n";
    for (const char *const section : {"checks", "members"}) {
        const std::string name(section, std::string_view(section).size() - 1);
        for (const Json &it : explanation.value(section, Json::array())) {
            text += name + fieldsOf(it) + "\n";
        }
    }
    if (explanation.contains("choice")) {
        text += "choice" + fieldsOf(explanation["choice"]) + "\n";
    }
    return text + "result " + explanation.value("result", "") + "\n";
}

} // namespace gentianplank
