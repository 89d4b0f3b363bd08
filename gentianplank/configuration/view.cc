#include "gentianplank/configuration/view.h"

#include "gentianplank/base/digest.h"

#include <algorithm>
#include <map>

namespace gentianplank {

namespace {

constexpr double Percent = 100.0;

template <typename Entry>
const Entry *findIn(const std::map<std::string, const Entry *, std::less<>> &index,
                    std::string_view name)
{
    const auto it = index.find(name);
    return it == index.end() ? nullptr : it->second;
}

} // namespace

struct ConfigurationView::State
{
    ConfigurationDocument document;
    std::map<std::string, std::string, std::less<>> organisationByDigest;
    std::map<std::string, const configuration::v1::Organisation *, std::less<>> organisations;
    std::map<std::string, const configuration::v1::Route *, std::less<>> routes;
    std::map<std::string, const configuration::v1::Target *, std::less<>> targets;
};

ConfigurationView::ConfigurationView(ConfigurationDocument document)
{
    auto state = std::make_unique<State>();
    state->document = std::move(document);
    for (const configuration::v1::KeyGrant &it : state->document.keys()) {
        state->organisationByDigest.emplace(it.digest(), it.organisation());
    }
    for (const configuration::v1::Organisation &it : state->document.organisations()) {
        state->organisations.emplace(it.name(), &it);
    }
    for (const configuration::v1::Route &it : state->document.routes()) {
        state->routes.emplace(it.name(), &it);
    }
    for (const configuration::v1::Target &it : state->document.targets()) {
        state->targets.emplace(it.group(), &it);
    }
    m_state = std::move(state);
}

ConfigurationView::~ConfigurationView() = default;

uint64_t ConfigurationView::revision() const
{
    return m_state->document.revision();
}

const ConfigurationDocument &ConfigurationView::document() const
{
    return m_state->document;
}

std::optional<std::string> ConfigurationView::organisationOfKey(std::string_view key) const
{
    // The lookup compares digests, so that its timing reveals nothing about a key.
    const std::string digest = keyDigest(key);
    const auto it = m_state->organisationByDigest.find(digest);
    if (it == m_state->organisationByDigest.end() || !equalInConstantTime(it->first, digest)) {
        return std::nullopt;
    }
    return it->second;
}

bool ConfigurationView::isGranted(std::string_view digest, std::string_view organisation) const
{
    const auto it = m_state->organisationByDigest.find(digest);
    return it != m_state->organisationByDigest.end() && it->second == organisation;
}

const configuration::v1::Route *ConfigurationView::route(std::string_view name) const
{
    return findIn(m_state->routes, name);
}

const configuration::v1::Target *ConfigurationView::target(std::string_view group) const
{
    return findIn(m_state->targets, group);
}

bool ConfigurationView::mayUse(std::string_view organisation,
                               const configuration::v1::Route &route) const
{
    for (const configuration::v1::Exception &it : m_state->document.exceptions()) {
        if (it.kind() == configuration::v1::EXCEPTION_KIND_SUSPEND &&
            it.subject() == organisation) {
            return false;
        }
    }
    if (organisation == OpenOrganisation && !findIn(m_state->organisations, organisation)) {
        return route.open_to_all();
    }
    const auto &allowed = route.organisations();
    return allowed.empty() ||
           std::find(allowed.begin(), allowed.end(), organisation) != allowed.end();
}

RateLimit ConfigurationView::rateOf(std::string_view organisation) const
{
    const configuration::v1::FleetDefaults &defaults = m_state->document.defaults();
    RateLimit limit{static_cast<double>(defaults.rate_per_second()),
                    static_cast<double>(defaults.burst())};
    const configuration::v1::Organisation *configured =
        findIn(m_state->organisations, organisation);
    if (configured != nullptr && configured->rate_per_second() > 0) {
        limit.perSecond = configured->rate_per_second();
    }
    if (configured != nullptr && configured->burst() > 0) {
        limit.burst = configured->burst();
    }
    for (const configuration::v1::Exception &it : m_state->document.exceptions()) {
        if (it.kind() == configuration::v1::EXCEPTION_KIND_RATE_PERCENT &&
            it.subject() == organisation) {
            limit.perSecond *= it.value_percent() / Percent;
            limit.burst *= it.value_percent() / Percent;
        }
    }
    return limit;
}

uint32_t ConfigurationView::weightOf(std::string_view organisation) const
{
    const configuration::v1::Organisation *configured =
        findIn(m_state->organisations, organisation);
    return configured == nullptr ? 1 : std::max(1U, configured->weight());
}

bool ConfigurationView::acknowledgesOnPrimaryOnly(std::string_view route) const
{
    const auto &exceptions = m_state->document.exceptions();
    return std::any_of(exceptions.begin(), exceptions.end(), [&](const auto &it) {
        return it.kind() == configuration::v1::EXCEPTION_KIND_PRIMARY_ONLY_ACK &&
               it.subject() == route;
    });
}

} // namespace gentianplank
