#include "gentianplank/node/traffic/rate_exchange.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <thread>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

// A fleet whose VMs exchange tokens; frames between them are delivered when the test says so.
struct Fleet
{
    explicit Fleet(int n, double perSecond, double burst)
    {
        auto routing = std::make_shared<Routing>();
        routing->organisations["org"] = {"org", {}, perSecond, burst};
        view.routing = routing;
        view.wasRegisteredBeforeStart = true;
        for (int i = 0; i < n; ++i) {
            view.vms.push_back({"vm-" + std::to_string(i), "10.0.0.1:1", {"a", "r"}, 1, false});
        }
        for (const VmRecord &it : view.vms) {
            RateExchangeEnvironment environment;
            environment.isReachable = [this](const std::string &vm) { return dark.count(vm) == 0; };
            environment.send = [this, from = it.name](const std::string &to,
                                                      const peer::v1::Frame &frame) {
                frames.push_back({from, to, frame});
                return true;
            };
            vms[it.name] = std::make_unique<RateExchange>(
                it.name, it.place, ShareDelays{5200ms, 2s}, std::move(environment));
            vms[it.name]->update(view, steadyNow());
        }
    }

    void deliver()
    {
        while (!frames.empty()) {
            const auto [from, to, frame] = frames.front();
            frames.pop_front();
            if (dark.count(to) != 0) {
                continue;
            }
            const auto &ask = frame.rate_ask();
            const double given =
                vms[to]->grantTokens(from, ask.organisation(), ask.tokens(), ask.demand());
            vms[from]->acceptTokens(to, ask.organisation(), given);
        }
    }

    // Asks for one operation at a VM; whether it was admitted, once that is known.
    void ask(const std::string &vm)
    {
        vms[vm]->admit("org", [this](bool isAdmitted, Duration retryAfter) {
            (isAdmitted ? admitted : refused) += 1;
            hint = retryAfter;
        });
    }

    struct Sent
    {
        std::string from;
        std::string to;
        peer::v1::Frame frame;
    };

    FleetView view;
    std::set<std::string> dark;
    std::deque<Sent> frames;
    std::map<std::string, std::unique_ptr<RateExchange>> vms;
    int admitted = 0;
    int refused = 0;
    Duration hint{0};
};

} // namespace

// Whatever VM is asked, all together admit the rate and the burst and no more.
BOOST_AUTO_TEST_CASE(allVmsTogetherAdmitTheRate)
{
    Fleet fleet(9, 200, 100);
    // The first second fills what VMs hold in advance.
    const Instant begun = steadyNow();
    std::optional<Instant> countedFrom;
    int admittedBefore = 0;
    int i = 0;
    while (steadyNow() - begun < 3000ms) {
        if (!countedFrom && steadyNow() - begun > 1000ms) {
            countedFrom = steadyNow();
            admittedBefore = fleet.admitted;
        }
        for (int k = 0; k < 4; ++k) {
            fleet.ask("vm-" + std::to_string(i++ % 9));
        }
        fleet.deliver();
        for (const auto &[name, it] : fleet.vms) {
            it->tick();
        }
        std::this_thread::sleep_for(2ms);
    }
    const double seconds = static_cast<double>((steadyNow() - begun).count()) / 1e6;
    const double allowed = 200 * seconds + 100;
    BOOST_TEST(fleet.admitted <= allowed + 1);
    // What is filled is used, though each VM owns a part of it only.
    BOOST_REQUIRE(countedFrom);
    const double counted = static_cast<double>((steadyNow() - *countedFrom).count()) / 1e6;
    BOOST_TEST(fleet.admitted - admittedBefore >= 0.95 * 200 * counted);
    BOOST_TEST(fleet.refused > 0);
    BOOST_TEST((fleet.hint >= 100ms));
}

// A refusal does not wait for owners that do not answer.
BOOST_AUTO_TEST_CASE(aRefusalComesSoonWhenNoOwnerAnswers)
{
    Fleet fleet(6, 10, 6);
    for (int i = 0; i < 30; ++i) {
        fleet.ask("vm-0");
    }
    fleet.frames.clear();
    const Instant begun = steadyNow();
    while (fleet.admitted + fleet.refused < 30 && steadyNow() - begun < 2s) {
        fleet.vms["vm-0"]->tick();
        std::this_thread::sleep_for(5ms);
    }
    BOOST_TEST(fleet.admitted + fleet.refused == 30);
    BOOST_TEST((steadyNow() - begun < 300ms));
}

// An operation that no member ran costs its organisation nothing.
BOOST_AUTO_TEST_CASE(aRefundedTokenIsUsedAgain)
{
    Fleet fleet(1, 1, 3);
    std::this_thread::sleep_for(1100ms);
    fleet.ask("vm-0");
    BOOST_REQUIRE(fleet.admitted == 1);
    fleet.ask("vm-0");
    const int before = fleet.admitted;
    fleet.vms["vm-0"]->refundToken("org");
    fleet.ask("vm-0");
    BOOST_TEST(fleet.admitted == before + 1);
}

// Pattern: after all VMs lost power, operations were refused for want of tokens that had been
// filled while the process read the store.
BOOST_AUTO_TEST_CASE(aPartOfAVmThatWasKnownFillsFromItsStart)
{
    auto routing = std::make_shared<Routing>();
    routing->organisations["org"] = {"org", {}, 100, 50};
    FleetView view;
    view.routing = routing;
    view.vms.push_back({"vm-0", "10.0.0.1:1", {"a", "r"}, 1, false});
    const auto admittedAfter = [&](bool wasRegisteredBeforeStart) {
        RateExchange exchange("vm-0", {"a", "r"}, {5200ms, 2s}, {});
        std::this_thread::sleep_for(200ms);
        view.wasRegisteredBeforeStart = wasRegisteredBeforeStart;
        exchange.update(view, steadyNow());
        int admitted = 0;
        for (int i = 0; i < 15; ++i) {
            exchange.admit("org", [&](bool isAdmitted, Duration) { admitted += isAdmitted; });
        }
        return admitted;
    };
    BOOST_TEST(admittedAfter(true) == 15);
    BOOST_TEST(admittedAfter(false) == 0);
}

// Pattern: 190 organisations with small rates over 295 VMs; each operation asked an owner somewhere
// in the fleet over a link that had to be opened first, often a region away, and a quarter of them
// waited for more than 100 ms.
BOOST_AUTO_TEST_CASE(aVmOfALargeFleetAsksFewOthersAndThoseOfItsRegionFirst)
{
    auto routing = std::make_shared<Routing>();
    for (int i = 0; i < 200; ++i) {
        const std::string name = "org-" + std::to_string(i);
        routing->organisations[name] = {name, {}, 5, 5};
    }
    FleetView view;
    view.routing = routing;
    view.wasRegisteredBeforeStart = true;
    std::map<std::string, std::string> regionOf;
    for (int i = 0; i < 200; ++i) {
        const std::string region = i % 2 == 0 ? "near" : "far";
        const std::string name = "vm-" + std::to_string(i);
        view.vms.push_back({name, "10.0.0.1:1", {region + "-zone", region}, 1, false});
        regionOf[name] = region;
    }
    std::set<std::string> asked;
    int far = 0;
    RateExchangeEnvironment environment;
    environment.isReachable = [](const std::string &) { return true; };
    environment.send = [&](const std::string &vm, const peer::v1::Frame &) {
        asked.insert(vm);
        far += regionOf[vm] == "far" ? 1 : 0;
        return true;
    };
    // Owns no part itself.
    RateExchange exchange("caller", {"near-zone", "near"}, {5200ms, 2s}, environment);
    exchange.update(view, steadyNow());
    for (const auto &[name, limits] : routing->organisations) {
        exchange.admit(name, [](bool, Duration) {});
    }
    BOOST_TEST(far == 0);
    BOOST_TEST(asked.size() >= 4U);
    BOOST_TEST(asked.size() <= 8U);
}

BOOST_AUTO_TEST_CASE(anUnknownOrganisationIsRefused)
{
    Fleet fleet(2, 10, 10);
    bool isAdmitted = true;
    fleet.vms["vm-0"]->admit("nobody", [&](bool it, Duration) { isAdmitted = it; });
    BOOST_TEST(!isAdmitted);
    BOOST_TEST(fleet.vms["vm-0"]->grantTokens("vm-1", "nobody", 5, 5) == 0.0);
}
