// Explanations and traffic by distance of real VMs over loopback, with the adaptive zone policy.
#include "gentianplank/http/http_client.h"
#include "gentianplank/node/testing/entry_fixture.h"

#include <nlohmann/json.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

// The beginning of the BLAKE2b-256 digest of "moving".
constexpr char MovingKeyDigest[] = "ba45f31c0d";

HttpResponse get(const std::string &address, const std::string &target)
{
    boost::asio::io_context context;
    HttpClient client(context, address);
    std::optional<HttpResult> result;
    client.call({"GET", target, "", {}}, 2s, [&](HttpResult it) { result = std::move(it); });
    while (!result && context.run_one() > 0) {
    }
    BOOST_REQUIRE(result);
    BOOST_REQUIRE(result->has_value());
    return **result;
}

} // namespace

// Guards against explanations that don't match where real statements go, that run a statement, or
// that print a key.
BOOST_FIXTURE_TEST_CASE(explainsWhereRealStatementsGo, EntryFixture)
{
    const ZoneOptions adaptive{ZonePolicy::Adaptive};
    first = nullptr;
    first = std::make_unique<Vm>("vm-1", "a", store, nullptr, adaptive);
    awaitService(first->callerAddress());
    Caller caller(first->callerAddress());
    BOOST_TEST(caller.firstLine("START ledger k1") == "READY I -");
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(caller.firstLine("QUERY r" + std::to_string(i) + " READ warm") == "ROW 1");
    }
    const std::string target = "/explain?database=ledger&organisation=org&format=json&kind=";
    const size_t runs = group.runs().size();
    const HttpResponse answer = get(first->readyAddress(), target + "write");
    const auto write = nlohmann::json::parse(answer.body);
    BOOST_TEST(group.runs().size() == runs);
    BOOST_TEST(write.at("result") == "sent");
    BOOST_TEST(write.at("zone_policy") == "adaptive");
    BOOST_TEST(write.at("members").size() == 3U);
    BOOST_TEST(write.at("members").at(0).at("role") == "primary");
    BOOST_TEST(write.at("members").at(1).at("reason") == "not the primary");
    BOOST_TEST(answer.body.find("k1") == std::string::npos);
    const auto read = nlohmann::json::parse(get(first->readyAddress(), target + "read").body);
    BOOST_TEST(read.at("choice").at("by") == "shares");
    BOOST_TEST(get(first->readyAddress(), "/explain?kind=read").status == 400U);
    BOOST_TEST(get(first->readyAddress(), "/explained").status == 404U);
    const std::string metrics = get(first->readyAddress(), "/metrics").body;
    BOOST_TEST(metrics.find("gentianplank_sent_by_distance_total{distance=\"same_zone\"}") !=
               std::string::npos);
    BOOST_TEST(metrics.find("gentianplank_bytes_by_distance_total{distance=\"other_region\"} 0") !=
               std::string::npos);
}

// Guards against an explanation that names another organisation than the one that statements run
// for, while a key moves.
BOOST_FIXTURE_TEST_CASE(explanationFollowsTheKey, EntryFixture)
{
    // The organisations are in the first configuration of the VMs, so that they have tokens at
    // once.
    first = nullptr;
    second = nullptr;
    const std::vector<DocumentOrganisation> initial{{"t1", {"k1", "moving"}}, {"t2", {"k2"}}};
    store.put("op", "config", configurationOf(2, initial));
    first = std::make_unique<Vm>("vm-1", "a", store);
    second = std::make_unique<Vm>("vm-2", "b", store);
    awaitService(first->callerAddress());
    const std::string target = "/explain?database=main&format=json&kind=write&key-digest=";
    const auto explained = [&] {
        const auto json =
            nlohmann::json::parse(get(first->readyAddress(), target + MovingKeyDigest).body);
        for (const auto &it : json.at("checks")) {
            if (it.at("check") == "organisation") {
                return it.at("inputs").at("organisation").get<std::string>();
            }
        }
        return std::string();
    };
    for (int version = 3; version < 9; ++version) {
        std::vector<DocumentOrganisation> organisations{{"t1", {"k1"}}, {"t2", {"k2"}}};
        DocumentOrganisation &holder = organisations[version % 2];
        holder.keys.emplace_back("moving");
        store.put("op", "config", configurationOf(version, organisations));
        std::string ran;
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (ran != holder.name && std::chrono::steady_clock::now() < end) {
            const std::string before = explained();
            Caller caller(first->callerAddress());
            caller.firstLine("START main moving");
            if (caller.firstLine("QUERY q1 WRITE a 1").starts_with("DONE")) {
                ran = group.runs().back().organisation;
                const std::string after = explained();
                BOOST_TEST((ran == before || ran == after));
            }
        }
        BOOST_TEST(ran == holder.name);
    }
}
