// End-to-end tests over loopback: callers, two entry VMs, a store and a group of members.
#include "gentianplank/base/rendezvous.h"
#include "gentianplank/base/testing/reserved_address.h"
#include "gentianplank/node/control/control.h"
#include "gentianplank/node/traffic/traffic.h"
#include "gentianplank/standin/http_table_store.h"
#include "gentianplank/standin/line_protocol_group.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <poll.h>

#include <atomic>
#include <thread>

using namespace gentianplank;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

class Vm
{
public:
    Vm(const std::string &name, const std::string &zone, const HttpTableStore &store)
    {
        m_settings.name = name;
        m_settings.place = {zone, "r"};
        m_settings.regionOfZone = {{"a", "r"}, {"b", "r"}};
        m_settings.ip = "127.0.0.1";
        m_settings.callerAddress = reserveAddress();
        m_settings.readyAddress = reserveAddress();
        m_settings.firstPeerPort = reservePort();
        m_settings.lastPeerPort = m_settings.firstPeerPort;
        m_settings.storeAddress = store.address();
        m_settings.promotionAddress = store.address();
        m_settings.fileDescriptors = 4000;
        m_settings.memoryMb = 64;
        static uint64_t incarnation = 1;
        ++incarnation;
        m_control = std::make_unique<Control>(m_settings, incarnation);
        TrafficHandler handler;
        handler.onMemberUnreachable = [this](const std::string &group, const std::string &member) {
            m_control->handleSuspicion(group, member);
        };
        handler.onControlRequest = [this](const peer::v1::Frame &frame,
                                          std::function<void(const peer::v1::Frame &)> reply) {
            m_control->handleRequest(frame, std::move(reply));
        };
        handler.onControlReply = [this](const std::string &vm, const peer::v1::Frame &frame) {
            m_control->handleReply(vm, frame);
        };
        handler.onPeerLost = [this](const std::string &vm) { m_control->handlePeerLost(vm); };
        handler.onHandOver = [this] { m_control->handOver(); };
        handler.onStopped = [this] { m_hasStopped = true; };
        m_traffic = std::make_unique<Traffic>(m_settings, incarnation, std::move(handler));
        const auto error = m_traffic->start();
        BOOST_REQUIRE_MESSAGE(!error, error.value_or(""));
        m_control->start(*m_traffic);
    }

    ~Vm()
    {
        m_control->join();
        m_traffic->join();
    }

    const std::string &callerAddress() const { return m_settings.callerAddress; }
    void leave() { m_control->leave(); }
    bool hasStopped() const { return m_hasStopped; }

private:
    EntryVmSettings m_settings;
    std::unique_ptr<Control> m_control;
    std::unique_ptr<Traffic> m_traffic;
    std::atomic<bool> m_hasStopped{false};
};

class Caller
{
public:
    explicit Caller(const std::string &address)
        : m_socket(m_ioContext)
    {
        const size_t colon = address.find(':');
        m_socket.connect({asio::ip::make_address(address.substr(0, colon)),
                          static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))});
    }

    // Sends a line and returns the lines of the answer up to READY or the end of the connection.
    std::vector<std::string> request(const std::string &line)
    {
        asio::write(m_socket, asio::buffer(line + "\r\n"));
        std::vector<std::string> lines;
        boost::system::error_code ec;
        while (!ec && (lines.empty() || !lines.back().starts_with("READY"))) {
            asio::read_until(m_socket, m_buffer, "\r\n", ec);
            if (ec) {
                break;
            }
            std::istream in(&m_buffer);
            std::string text;
            std::getline(in, text);
            text.pop_back();
            lines.push_back(text);
        }
        return lines;
    }

    // Sends bytes as they are. Ignores errors, as the other end may have stopped reading.
    void sendRaw(const std::string &bytes)
    {
        boost::system::error_code ec;
        asio::write(m_socket, asio::buffer(bytes), ec);
    }

    // Whether an error or the end of the connection arrives within `timeout`.
    bool isRefusedWithin(std::chrono::milliseconds timeout)
    {
        pollfd poller{m_socket.native_handle(), POLLIN, 0};
        return poll(&poller, 1, static_cast<int>(timeout.count())) > 0;
    }

    // Sends a line and returns the first line of the answer; empty if there is none.
    std::string firstLine(const std::string &line)
    {
        const auto lines = request(line);
        return lines.empty() ? "" : lines[0];
    }

private:
    asio::io_context m_ioContext;
    asio::ip::tcp::socket m_socket;
    asio::streambuf m_buffer;
};

std::string configuration(int version, const std::string &keys)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
 {"host":"ledger","route-kind":"read_your_writes","timeout-ms":1500,"target-latency-ms":1000,
  "priority":1,"service":"g","max-staleness-ms":2000},
 {"host":"main","route-kind":"primary","timeout-ms":1500,"target-latency-ms":600,
  "priority":1,"service":"g"},
 {"host":"open","route-kind":"primary","timeout-ms":1500,"target-latency-ms":600,
  "priority":1,"service":"g","public":true}],
 "services":[{"name":"g","connection-limit":16}],"limits":{"transaction-idle-ms":3000},
 "tenants":[{"name":"org","api-keys":[)" +
           keys + R"(],"rate-per-s":1000000,"burst-size":1000000}]})";
}

struct Fixture
{
    Fixture()
        : group("g", 3)
    {
        store.put("op", "config", configuration(1, "\"k1\",\"k2\""));
        for (size_t i = 0; i < 3; ++i) {
            store.put("servers", "g-" + std::to_string(i), group.discoveryDocument(i));
        }
        store.put("servers", "stranger", "not json");
        // The store lists the VMs from earlier processes, so that their rate shares are free to
        // use.
        for (const std::string name : {"vm-1", "vm-2"}) {
            store.put(FleetTable, "vm/" + name,
                      encodeVmRecord({name, "127.0.0.1:1", {"a", "r"}, 1, false}));
        }
        store.onPromotion([this](const std::string &name, const std::string &member) {
            if (name != "g") {
                return 404U;
            }
            group.promote(static_cast<size_t>(member.back() - '0'));
            return 200U;
        });
        first = std::make_unique<Vm>("vm-1", "a", store);
        second = std::make_unique<Vm>("vm-2", "b", store);
    }

    // Retries until the VM serves a write; it first has to read the store.
    static void awaitService(const std::string &address)
    {
        const auto end = std::chrono::steady_clock::now() + 15s;
        while (std::chrono::steady_clock::now() < end) {
            Caller caller(address);
            if (caller.firstLine("START main k1").starts_with("READY") &&
                caller.firstLine("QUERY w0 WRITE warm 1").starts_with("DONE")) {
                return;
            }
            std::this_thread::sleep_for(50ms);
        }
        BOOST_FAIL("no service at " + address);
    }

    HttpTableStore store;
    LineProtocolGroup group;
    std::unique_ptr<Vm> first;
    std::unique_ptr<Vm> second;
};

} // namespace

// After a power loss of all VMs, callers were rejected during the tenths of a second in which the
// new processes read the configuration, and had used up their retries by then.
BOOST_FIXTURE_TEST_CASE(sessionWaitsForConfigurationDuringStartup, Fixture)
{
    Caller caller(first->callerAddress());
    BOOST_TEST(caller.firstLine("START main k1") == "READY I -");
    BOOST_TEST(
        Caller(first->callerAddress()).firstLine("START main k9").starts_with("ERROR NOAUTH"));
}

// When 295 VMs came back from a power loss, the store took 200 of their rows a second. Until its
// row was written, each VM read everything from the store itself, half of them over the link
// between the regions, which was saturated for more than a second.
BOOST_FIXTURE_TEST_CASE(registeredVmFollowsRelayBeforeItsRowIsWritten, Fixture)
{
    awaitService(first->callerAddress());
    awaitService(second->callerAddress());
    const std::vector<std::string> names{"vm-1", "vm-2"};
    // The other VM is the relay of the region.
    const bool isFirst = rankByRendezvous("relay", names).back() == "vm-1";
    auto &restarted = isFirst ? first : second;
    restarted = nullptr;
    store.setFault(HttpTableStore::Fault::RejectedTransactions);
    const uint64_t before = store.reads("op") + store.reads("servers");
    restarted = isFirst ? std::make_unique<Vm>("vm-1", "a", store)
                        : std::make_unique<Vm>("vm-2", "b", store);
    Caller caller(restarted->callerAddress());
    BOOST_TEST(caller.firstLine("START ledger k1") == "READY I -");
    BOOST_TEST(caller.firstLine("QUERY q1 READ warm").starts_with("ROW"));
    BOOST_TEST(store.reads("op") + store.reads("servers") == before);
    store.setFault(HttpTableStore::Fault::None);
}

// Guards against sessions that wait without end for a configuration that can't be read.
BOOST_FIXTURE_TEST_CASE(sessionIsRejectedWhenStoreIsUnavailableAtStartup, Fixture)
{
    first = nullptr;
    store.setFault(HttpTableStore::Fault::Busy);
    first = std::make_unique<Vm>("vm-1", "a", store);
    const auto startedAt = std::chrono::steady_clock::now();
    Caller caller(first->callerAddress());
    BOOST_TEST(caller.firstLine("START main k1").starts_with("ERROR BUSY"));
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 1900ms));
    BOOST_TEST(Caller(first->callerAddress()).firstLine("START main k1").starts_with("ERROR BUSY"));
}

BOOST_FIXTURE_TEST_CASE(readsAndWritesThroughEveryVm, Fixture)
{
    for (const auto *vm : {first.get(), second.get()}) {
        awaitService(vm->callerAddress());
        Caller caller(vm->callerAddress());
        BOOST_TEST(caller.firstLine("START ledger k1") == "READY I -");
        BOOST_TEST(caller.firstLine("QUERY q1 WRITE a 5").starts_with("DONE sig."));
        BOOST_TEST(caller.firstLine("QUERY q2 READ a") == "ROW 5");
        BOOST_TEST(caller.firstLine("QUERY q3 BEGIN") == "DONE -");
        BOOST_TEST(caller.firstLine("QUERY q4 WRITE a 6").starts_with("DONE sig."));
        BOOST_TEST(caller.firstLine("QUERY q5 ROLLBACK") == "DONE -");
        BOOST_TEST(caller.firstLine("QUERY q6 READ a") == "ROW 5");
        BOOST_TEST(caller.firstLine("QUERY q7 PREPARE s1 WRITE shape") == "DONE -");
        BOOST_TEST(caller.firstLine("QUERY q8 EXECUTE s1 a 7").starts_with("DONE sig."));
        BOOST_TEST(caller.firstLine("QUERY q9 READ a") == "ROW 7");
    }
    for (const ExecutedStatement &it : group.runs()) {
        BOOST_TEST(it.organisation == "org");
    }
}

BOOST_FIXTURE_TEST_CASE(reportsErrorForUnknownNamesAndMalformedMessages, Fixture)
{
    awaitService(first->callerAddress());
    const std::string &address = first->callerAddress();
    BOOST_TEST(Caller(address).firstLine("START nothing k1").starts_with("ERROR NODB"));
    BOOST_TEST(Caller(address).firstLine("START ledger k9").starts_with("ERROR NOAUTH"));
    BOOST_TEST(Caller(address).firstLine("START open") == "READY I -");
    BOOST_TEST(Caller(address).firstLine("GET / HTTP/1.1").starts_with("ERROR MALFORMED"));
    Caller caller(address);
    BOOST_TEST(caller.firstLine("START ledger k1") == "READY I -");
    BOOST_TEST(caller.firstLine("QUERY q1 DROP a").starts_with("ERROR MALFORMED"));
    BOOST_TEST(caller.firstLine("QUERY q2 READ a").starts_with("DONE"));
    Caller flood(address);
    flood.firstLine("START ledger k1");
    BOOST_TEST(flood.firstLine("QUERY q1 WRITE a " + std::string(1100000, 'x'))
                   .starts_with("ERROR TOOBIG"));
}

BOOST_FIXTURE_TEST_CASE(rejectsWithdrawnKeyInOpenSession, Fixture)
{
    awaitService(first->callerAddress());
    Caller caller(first->callerAddress());
    caller.firstLine("START ledger k2");
    BOOST_TEST(caller.firstLine("QUERY q1 READ warm").starts_with("ROW"));
    store.put("op", "config", configuration(2, "\"k1\""));
    std::this_thread::sleep_for(500ms);
    BOOST_TEST(caller.firstLine("QUERY q2 READ warm").starts_with("ERROR NOAUTH"));
}

// Incomplete messages used to take memory without a bound over all callers.
BOOST_FIXTURE_TEST_CASE(limitsMemoryForIncompleteMessages, Fixture)
{
    awaitService(first->callerAddress());
    Caller unaffected(first->callerAddress());
    unaffected.firstLine("START ledger k1");
    // Incomplete messages may take 8 MB; those of 12 callers would take 12 MB.
    const std::string incompleteMessage = "QUERY q1 WRITE a " + std::string(1000000, 'x');
    std::vector<std::unique_ptr<Caller>> flood;
    for (int i = 0; i < 12; ++i) {
        flood.push_back(std::make_unique<Caller>(first->callerAddress()));
        flood.back()->firstLine("START ledger k1");
        flood.back()->sendRaw(incompleteMessage);
    }
    size_t refused = 0;
    for (const auto &it : flood) {
        refused += it->isRefusedWithin(500ms) ? 1 : 0;
    }
    BOOST_TEST(refused >= 4U);
    BOOST_TEST(refused < 12U);
    BOOST_TEST(unaffected.firstLine("QUERY q2 READ warm").starts_with("ROW"));
}

// While the store is unavailable, a key must not be accepted for longer than its withdrawal may
// take.
BOOST_FIXTURE_TEST_CASE(executesNothingWithoutProvenConfiguration, Fixture)
{
    awaitService(first->callerAddress());
    Caller caller(first->callerAddress());
    caller.firstLine("START ledger k1");
    store.setFault(HttpTableStore::Fault::Busy);
    std::this_thread::sleep_for(5200ms);
    const size_t before = group.runs().size();
    BOOST_TEST(caller.firstLine("QUERY q1 READ warm").starts_with("ERROR BUSY"));
    BOOST_TEST(group.runs().size() == before);
    store.setFault(HttpTableStore::Fault::None);
    std::this_thread::sleep_for(1500ms);
    BOOST_TEST(caller.firstLine("QUERY q2 READ warm").starts_with("ROW"));
}

BOOST_FIXTURE_TEST_CASE(promotesAnotherMemberWhenPrimaryCrashes, Fixture)
{
    awaitService(first->callerAddress());
    awaitService(second->callerAddress());
    group.crash(0);
    const auto startedAt = std::chrono::steady_clock::now();
    bool isServed = false;
    for (int i = 0; i < 200 && !isServed; ++i) {
        Caller caller(second->callerAddress());
        caller.firstLine("START main k1");
        isServed =
            caller.firstLine("QUERY w" + std::to_string(i) + " WRITE b 1").starts_with("DONE");
    }
    const auto outage = std::chrono::steady_clock::now() - startedAt;
    BOOST_TEST(isServed);
    // The promotion itself takes no time here; the target allows 1.5 s for everything else.
    BOOST_TEST((outage < 1500ms));
    BOOST_TEST(group.committed().at("warm") == "1");
    const auto record = decodeGroupRecord(store.get(FleetTable, "group/g")->first);
    BOOST_REQUIRE(record);
    BOOST_TEST(record->primary != "g-0");
}

BOOST_FIXTURE_TEST_CASE(shutdownFailsNoStatement, Fixture)
{
    awaitService(first->callerAddress());
    awaitService(second->callerAddress());
    std::atomic<bool> isLoadStopped{false};
    std::atomic<int> failed{0};
    std::atomic<int> served{0};
    std::thread load([&] {
        while (!isLoadStopped) {
            Caller caller(second->callerAddress());
            caller.firstLine("START ledger k1");
            for (int i = 0; i < 20; ++i) {
                const std::string id = std::to_string(i);
                const bool isWrite = i % 3 == 0;
                const std::string answer = isWrite ? caller.firstLine("QUERY " + id + " WRITE c 1")
                                                   : caller.firstLine("QUERY " + id + " READ c");
                const bool isGood = answer.starts_with("DONE") || answer.starts_with("ROW");
                (isGood ? served : failed) += 1;
                if (!isGood && failed < 5) {
                    BOOST_TEST_MESSAGE("not served: '" << answer << "'");
                }
            }
        }
    });
    first->leave();
    const auto end = std::chrono::steady_clock::now() + 8s;
    while (!first->hasStopped() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(20ms);
    }
    BOOST_TEST(first->hasStopped());
    first = nullptr;
    std::this_thread::sleep_for(500ms);
    isLoadStopped = true;
    load.join();
    BOOST_TEST(served > 100);
    BOOST_TEST(failed == 0);
}
