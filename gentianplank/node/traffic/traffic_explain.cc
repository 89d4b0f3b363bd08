#include "gentianplank/node/traffic/explain.h"
#include "gentianplank/node/traffic/traffic_state.h"

#include <nlohmann/json.hpp>

namespace gentianplank {

HttpAnswer Traffic::State::answerExplain(const HttpCall &call) const
{
    const auto query = parseExplainQuery(call.target);
    if (!query) {
        return {400, query.error() + "\n", "text/plain", Duration::zero()};
    }
    ExplainFacts facts;
    facts.vm = settings.name;
    facts.place = settings.place;
    facts.zonePolicy = zonePolicy;
    facts.view = view;
    facts.isConfigurationProven = hasProvenConfiguration();
    facts.configurationProofAge = bootNow() - proofs.configuration;
    facts.configurationProofLifetime = times.configurationProofLifetime;
    facts.rateOf = [this](const std::string &organisation) {
        return rates->status(organisation, steadyNow());
    };
    facts.primaryProofAge = [this](const GroupRecord &record) {
        return bootNow() - primaryLeaseOf(record).provenAt;
    };
    facts.plan = [this](const RoutedStatement &statement) { return router->plan(statement); };
    const auto explanation = explain(*query, facts);
    if (query->isJson) {
        return {200, explanationJson(explanation), "application/json", Duration::zero()};
    }
    return {200, explanationText(explanation), "text/plain", Duration::zero()};
}

} // namespace gentianplank
