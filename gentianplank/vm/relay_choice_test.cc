#include "gentianplank/vm/relay_choice.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace gentianplank;

namespace {

// A fleet in two regions of three zones each.
std::vector<VmRecord> fleetOf(int vmsInZone)
{
    std::vector<VmRecord> vms;
    for (const std::string region : {"r", "s"}) {
        for (const std::string zone : {"a", "b", "c"}) {
            for (int i = 0; i < vmsInZone; ++i) {
                const std::string name = region + zone + std::to_string(i);
                vms.push_back({name, "10.0.0.1:1", {region + zone, region}, 1, false});
            }
        }
    }
    return vms;
}

// Maps each VM to the one it follows; VMs that read the store are not in the map.
std::map<std::string, std::string> relaysOf(const std::vector<VmRecord> &vms)
{
    std::map<std::string, std::string> result;
    for (const VmRecord &it : vms) {
        if (const auto relay = chooseRelay(it.name, it.place, vms, {})) {
            result[it.name] = relay->vm;
        }
    }
    return result;
}

} // namespace

// Guards against store calls that grow with the number of zones: two per zone were the largest cost
// item of a day.
BOOST_AUTO_TEST_CASE(oneVmPerRegionReadsTheStore)
{
    for (const int vmsInZone : {1, 2, 3, 12}) {
        const auto vms = fleetOf(vmsInZone);
        const auto relays = relaysOf(vms);
        BOOST_TEST(vms.size() - relays.size() == 2U);
        for (const VmRecord &it : vms) {
            size_t hops = 0;
            for (auto at = relays.find(it.name); at != relays.end(); at = relays.find(at->second)) {
                ++hops;
            }
            BOOST_TEST(hops <= 2U);
        }
    }
}

// Guards against a slow relay: when 295 VMs came back at once, a VM with a link of 20 Mbit/s, next
// to three with 200, relayed to its zone of 49 VMs and took 0.6 s to send the configuration to all.
BOOST_AUTO_TEST_CASE(vmWithFastLinkRelaysToItsZone)
{
    auto vms = fleetOf(12);
    std::map<std::string, uint32_t> linkOf;
    for (size_t i = 0; i < vms.size(); ++i) {
        vms[i].linkMbps = i % 6 == 5 ? 200 : 20;
        linkOf[vms[i].name] = vms[i].linkMbps;
    }
    const auto relays = relaysOf(vms);
    BOOST_TEST(vms.size() - relays.size() == 2U);
    for (const auto &[follower, relay] : relays) {
        BOOST_TEST(linkOf[relay] == 200U);
    }
}

BOOST_AUTO_TEST_CASE(onlyVmOfARegionReadsTheStore)
{
    const std::vector<VmRecord> vms{{"only", "10.0.0.1:1", {"ra", "r"}, 1, false},
                                    {"far", "10.0.0.1:1", {"sa", "s"}, 1, false}};
    BOOST_TEST(relaysOf(vms).empty());
}

// Two VMs that follow each other would both wait forever; views of the fleet differ while rows are
// relayed.
BOOST_AUTO_TEST_CASE(relaysFormNoCycleWithDifferingViews)
{
    const auto vms = fleetOf(12);
    std::mt19937 random(7);
    for (int round = 0; round < 50; ++round) {
        std::map<std::string, std::string> relays;
        for (const VmRecord &own : vms) {
            std::vector<VmRecord> known;
            std::set<std::string> avoided;
            for (const VmRecord &it : vms) {
                if (it.name == own.name || random() % 2 == 0) {
                    known.push_back(it);
                }
                if (random() % 4 == 0) {
                    avoided.insert(it.name);
                }
            }
            if (const auto relay = chooseRelay(own.name, own.place, known, avoided)) {
                BOOST_TEST(avoided.count(relay->vm) == 0U);
                relays[own.name] = relay->vm;
            }
        }
        for (const VmRecord &it : vms) {
            size_t hops = 0;
            for (auto at = relays.find(it.name); at != relays.end() && hops < vms.size();
                 at = relays.find(at->second)) {
                ++hops;
            }
            BOOST_TEST(hops < vms.size());
        }
    }
}

BOOST_AUTO_TEST_CASE(nextVmReplacesAvoidedOrLeavingRelay)
{
    auto vms = fleetOf(12);
    const VmRecord own = vms.front();
    const auto first = chooseRelay(own.name, own.place, vms, {});
    BOOST_REQUIRE(first);
    const auto second = chooseRelay(own.name, own.place, vms, {first->vm});
    BOOST_TEST((second != first));
    for (VmRecord &it : vms) {
        it.isLeaving = it.name == first->vm;
    }
    BOOST_TEST((chooseRelay(own.name, own.place, vms, {}) == second));
}
