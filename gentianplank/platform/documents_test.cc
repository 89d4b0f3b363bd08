#include "gentianplank/platform/documents.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace gentianplank::platform;

namespace {

const std::string Configuration = R"({"version":7,"routes":[
 {"name":"r1","host":"db1","route-kind":"bounded_staleness","timeout-ms":1200,
  "target-latency-ms":800,"priority":2,"service":"g1","max-staleness-ms":1500,"public":false},
 {"name":"r2","host":"db2","route-kind":"primary","timeout-ms":800,"target-latency-ms":600,
  "priority":1,"service":"g1","public":true}],
 "services":[{"name":"g1","connection-limit":16,"sync-replicas":1}],
 "limits":{"transaction-idle-ms":2500},
 "tenants":[{"name":"org","api-keys":["k1","k2"],"rate-per-s":13.5,"burst-size":20}]})";

const std::string Entry = R"({"service":"g1","address":"10.0.0.9:8080","zone":"a","version":"v1",
 "slot-count":2,"state":"ready","cold-remaining-ms":0,"database-role":"primary","sequence":4,
 "born":1771888662501})";

std::string withReplacement(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_CASE(configurationIsDecoded)
{
    const auto routing = decodeConfiguration(Configuration);
    BOOST_REQUIRE(routing);
    BOOST_TEST(routing->revision == 7U);
    const DatabaseRoute *route = routing->routeOf("db1");
    BOOST_REQUIRE(route != nullptr);
    BOOST_TEST((route->consistency == Consistency::BoundedStaleness));
    BOOST_TEST((route->staleness == std::chrono::milliseconds(1500)));
    BOOST_TEST(routing->routeOf("db2")->isPublic);
    BOOST_TEST(routing->routeOf("db3") == nullptr);
    BOOST_TEST(routing->organisationOfKey("k2")->name == "org");
    BOOST_TEST(routing->organisationOfKey("") == nullptr);
    BOOST_TEST(routing->group("g1")->connectionLimit == 16U);
    BOOST_TEST((routing->limits.transactionIdle == std::chrono::milliseconds(2500)));
}

BOOST_AUTO_TEST_CASE(configurationWithMissingFieldIsRejected)
{
    BOOST_TEST(!decodeConfiguration(withReplacement(Configuration, "\"version\":7,", "")));
    BOOST_TEST(
        !decodeConfiguration(withReplacement(Configuration, "\"rate-per-s\":13.5", "\"x\":1")));
    BOOST_TEST(!decodeConfiguration("{"));
}

// Guards against an organisation that members can't tell from callers without one, or whose name
// would be read as further words of the line that starts a connection.
BOOST_AUTO_TEST_CASE(organisationWithoutUsableNameHoldsNoKeys)
{
    for (const std::string name : {"-", "", "a b", "org i-7f3a91c2", "a\\tb", "a\\r\\nSTART"}) {
        const auto routing = decodeConfiguration(
            withReplacement(Configuration, R"("name":"org")", R"("name":")" + name + '"'));
        BOOST_REQUIRE(routing);
        BOOST_TEST(routing->organisationOfKey("k1") == nullptr);
        BOOST_TEST(routing->organisations.empty());
        BOOST_TEST(routing->unusableOrganisations.size() == 1U);
        BOOST_TEST(routing->routes.size() == 2U);
    }
    BOOST_TEST(decodeConfiguration(Configuration)->unusableOrganisations.empty());
}

// Guards against home regions that are read from one of their two places only, or whose malformed
// list is taken for an empty one, which permits every region.
BOOST_AUTO_TEST_CASE(homeRegionsAreDecoded)
{
    const auto routing = decodeConfiguration(
        withReplacement(withReplacement(Configuration, R"("host":"db1")",
                                        R"("host":"db1","home-regions":["r","s"])"),
                        R"("name":"org")", R"("name":"org","home-regions":["s"])"));
    BOOST_REQUIRE(routing);
    BOOST_TEST(routing->routeOf("db1")->homeRegions.size() == 2U);
    BOOST_TEST(routing->routeOf("db2")->homeRegions.empty());
    BOOST_TEST(routing->organisations.at("org").homeRegions.at(0) == "s");
    BOOST_TEST(!decodeConfiguration(
        withReplacement(Configuration, R"("host":"db1")", R"("host":"db1","home-regions":"r")")));
}

BOOST_AUTO_TEST_CASE(memberEntryIsDecoded)
{
    const auto entry = decodeMemberEntry("i-1", Entry);
    BOOST_REQUIRE(entry);
    BOOST_TEST(entry->id == "i-1");
    BOOST_TEST(entry->claimsPrimary);
    BOOST_TEST(!entry->isLeaving);
    BOOST_TEST(entry->startedAtMs == 1771888662501);
    BOOST_TEST(
        decodeMemberEntry("i-1", withReplacement(Entry, "\"ready\"", "\"draining\""))->isLeaving);
}

// Guards against a cold phase that is read in the wrong unit or not at all.
BOOST_AUTO_TEST_CASE(coldPhaseIsDecoded)
{
    const auto routing = decodeConfiguration(
        withReplacement(Configuration, R"("connection-limit":16)",
                        R"("connection-limit":16,"cold-start-s":10,"cold-per-s":20)"));
    BOOST_REQUIRE(routing);
    BOOST_TEST((routing->group("g1")->coldStart == std::chrono::seconds(10)));
    BOOST_TEST(routing->group("g1")->coldPerSecond == 20);
    const auto entry = decodeMemberEntry(
        "i-1", withReplacement(Entry, "\"cold-remaining-ms\":0", "\"cold-remaining-ms\":1500"));
    BOOST_REQUIRE(entry);
    BOOST_TEST((entry->coldRemaining == std::chrono::milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(malformedMemberEntryIsRejected)
{
    BOOST_TEST(!decodeMemberEntry(
        "i-1", withReplacement(Entry, "\"slot-count\":2", "\"slot-count\":\"2\"")));
    BOOST_TEST(
        !decodeMemberEntry("i-1", withReplacement(Entry, "\"slot-count\":2", "\"slot-count\":0")));
    BOOST_TEST(!decodeMemberEntry("i-1", withReplacement(Entry, "\"ready\"", "\"resting\"")));
    BOOST_TEST(!decodeMemberEntry("i-1", withReplacement(Entry, "\"primary\"", "\"leader\"")));
    BOOST_TEST(!decodeMemberEntry("i-1", withReplacement(Entry, "10.0.0.9:8080", "here")));
    BOOST_TEST(!decodeMemberEntry(
        "i-1", withReplacement(Entry, "\"born\":1771888662501", "\"born\":1.5")));
    BOOST_TEST(!decodeMemberEntry("i-1", withReplacement(Entry, "\"zone\":\"a\",", "")));
    BOOST_TEST(!decodeMemberEntry("i-1", "\x80\xff"));
    BOOST_TEST(!decodeMemberEntry("i-1", ""));
    BOOST_TEST(!decodeMemberEntry("i-1", "[]"));
}
