#include "gentianplank/daemon/testing/fleet_fixture.h"
#include "gentianplank/proto/session.pb.h"

#include <boost/test/unit_test.hpp>
#include <grpcpp/create_channel.h>

#include <array>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>

namespace gentianplank {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration WriteInterval = milliseconds(20);
constexpr Duration WriteTimeout = seconds(15);

// Wide enough for a busy machine; policy_bench checks the actual failover target.
constexpr Duration MaxWriteGap = seconds(10);

struct Write
{
    std::string id;
    Instant at{};
    uint64_t term = 0;
};

// Starts a write every WriteInterval without waiting for the earlier ones.
class WriteLoad
{
public:
    explicit WriteLoad(FleetFixture &fleet)
        : m_fleet(fleet)
        , m_starter([this] { startWrites(); })
    {}

    ~WriteLoad() { stop(); }

    void stop()
    {
        m_stopping = true;
        if (m_starter.joinable()) {
            m_starter.join();
        }
        for (std::thread &it : m_writers) {
            it.join();
        }
        m_writers.clear();
    }

    std::vector<Write> acknowledged() const
    {
        const std::lock_guard lock(m_mutex);
        return m_acknowledged;
    }

    std::vector<Refusal> refusals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_refusals;
    }

private:
    void startWrites()
    {
        for (size_t i = 0; !m_stopping; ++i) {
            m_writers.emplace_back([this, i] { write(i); });
            std::this_thread::sleep_for(WriteInterval);
        }
    }

    void write(size_t i)
    {
        const std::string id = "load-" + std::to_string(i);
        TestCaller caller = m_fleet.caller(i % 3);
        const auto reply = caller.execute(addStatement(id, 1), id, WriteTimeout);
        const Instant now = steadyNow();
        const uint64_t term = termOf(caller.token);
        const std::lock_guard lock(m_mutex);
        if (reply) {
            m_acknowledged.push_back({id, now, term});
        } else {
            m_refusals.push_back(reply.error());
        }
    }

    static uint64_t termOf(const std::string &token)
    {
        session::v1::SignedToken signedToken;
        session::v1::SessionToken content;
        signedToken.ParseFromString(token);
        content.ParseFromString(signedToken.payload());
        return content.positions_size() == 0 ? 0 : content.positions(0).position().term();
    }

    FleetFixture &m_fleet;
    std::atomic<bool> m_stopping{false};
    mutable std::mutex m_mutex;
    std::vector<Write> m_acknowledged;
    std::vector<Refusal> m_refusals;
    std::vector<std::thread> m_writers;
    std::thread m_starter;
};

// Returns the time from the last acknowledged write of the first term to the first one of a later
// term.
Duration writeGap(const std::vector<Write> &writes)
{
    Instant last{};
    Instant first = Instant::max();
    for (const Write &it : writes) {
        if (it.term == 1) {
            last = std::max(last, it.at);
        } else {
            first = std::min(first, it.at);
        }
    }
    return first - last;
}

bool hasWriteInLaterTerm(const WriteLoad &load)
{
    const std::vector<Write> writes = load.acknowledged();
    return std::any_of(writes.begin(), writes.end(), [](const Write &it) { return it.term > 1; });
}

// Checks that every acknowledged write ran exactly once.
void checkAcknowledgedWrites(FleetFixture &fleet, const WriteLoad &load)
{
    const auto rows = fleet.caller(0).pull(scanStatement("load-"), [] {});
    BOOST_REQUIRE_MESSAGE(rows.has_value(), rows.error().message);
    std::set<std::string> ran;
    for (const common::v1::Row &it : *rows) {
        BOOST_TEST(it.values(1) == "1");
        ran.insert(it.values(0));
    }
    for (const Write &it : load.acknowledged()) {
        BOOST_TEST(ran.contains(it.id), "write " << it.id << " was lost");
    }
}

standin::v1::MemberFault isolationFault(const std::string &member)
{
    standin::v1::MemberFault fault;
    fault.set_group(TestGroup);
    fault.set_member(member);
    fault.set_isolated(true);
    return fault;
}

tl::expected<admin::v1::SwitchPrimaryReply, Refusal> switchPrimaryTo(FleetFixture &fleet, size_t vm,
                                                                     const std::string &member)
{
    grpc::ClientContext context;
    context.AddMetadata("authorization", "Bearer " + TestOperatorKey);
    context.set_deadline(std::chrono::system_clock::now() + seconds(20));
    admin::v1::SwitchPrimaryRequest request;
    request.set_group(TestGroup);
    request.set_member(member);
    request.set_operator_name("test");
    request.set_reason("planned switch in a test");
    admin::v1::SwitchPrimaryReply reply;
    const auto channel =
        grpc::CreateChannel(fleet.settings(vm).listen.callers, grpc::InsecureChannelCredentials());
    const grpc::Status status =
        admin::v1::Administration::NewStub(channel)->SwitchPrimary(&context, request, &reply);
    if (!status.ok()) {
        return tl::unexpected(fromStatus(status, ExecutionOutcome::Unknown));
    }
    return reply;
}

// Whether a member is a replica whose log position equals the primary's.
bool hasRejoined(const FleetFixture &fleet, const std::string &name)
{
    const admin::v1::GroupStatus group = fleet.status(0).groups(0);
    const admin::v1::MemberState *member = nullptr;
    const admin::v1::MemberState *primary = nullptr;
    for (const admin::v1::MemberState &it : group.members()) {
        member = it.member() == name ? &it : member;
        primary = it.member() == group.primary() ? &it : primary;
    }
    return member != nullptr && primary != nullptr && member->role() == "replica" &&
           fromWire(member->position()) == fromWire(primary->position());
}

// Injects a fault under write load and checks that a new primary takes over within MaxWriteGap,
// that no acknowledged write is lost or doubled, and that the old primary rejoins as a replica.
void checkFailover(const std::string &scenario,
                   const std::function<void(FleetFixture &)> &injectFault,
                   const std::function<void(FleetFixture &)> &clearFault)
{
    FleetFixture fleet;
    WriteLoad load(fleet);
    BOOST_REQUIRE(FleetFixture::waitUntil([&] { return load.acknowledged().size() > 20; }));
    injectFault(fleet);
    const bool changed = FleetFixture::waitUntil([&] { return hasWriteInLaterTerm(load); });
    BOOST_TEST(changed);
    std::this_thread::sleep_for(milliseconds(500));
    clearFault(fleet);
    load.stop();
    if (!changed) {
        return;
    }
    const Duration gap = writeGap(load.acknowledged());
    BOOST_TEST_MESSAGE(scenario << ": gap " << toMilliseconds(gap) << " ms, "
                                << load.acknowledged().size() << " acknowledged, "
                                << load.refusals().size() << " refused");
    BOOST_TEST(toMilliseconds(gap) <= toMilliseconds(MaxWriteGap));
    for (const Refusal &it : load.refusals()) {
        BOOST_TEST_MESSAGE("refused: " << it.message);
    }
    checkAcknowledgedWrites(fleet, load);
    BOOST_TEST(FleetFixture::waitUntil([&] { return hasRejoined(fleet, "a"); }));
}

} // namespace

BOOST_AUTO_TEST_CASE(isolatedPrimaryIsReplaced)
{
    checkFailover(
        "isolation", [](FleetFixture &fleet) { fleet.group().setFault(isolationFault("a")); },
        [](FleetFixture &fleet) {
            standin::v1::MemberFault healed = isolationFault("a");
            healed.set_isolated(false);
            fleet.group().setFault(healed);
        });
}

BOOST_AUTO_TEST_CASE(primaryPartitionedFromReplicasIsReplaced)
{
    checkFailover(
        "partition from replicas",
        [](FleetFixture &fleet) {
            standin::v1::MemberFault fault = isolationFault("a");
            fault.set_isolated(false);
            fault.set_isolated_from_members(true);
            fleet.group().setFault(fault);
        },
        [](FleetFixture &fleet) {
            standin::v1::MemberFault healed = isolationFault("a");
            healed.set_isolated(false);
            fleet.group().setFault(healed);
        });
}

BOOST_AUTO_TEST_CASE(isolatedPrimaryIsReplacedDuringStoreOutage)
{
    checkFailover(
        "isolation with the store down",
        [](FleetFixture &fleet) {
            standin::v1::StoreFault down;
            down.set_down(true);
            fleet.setStoreFault(down);
            fleet.group().setFault(isolationFault("a"));
        },
        [](FleetFixture &fleet) {
            fleet.setStoreFault({});
            standin::v1::MemberFault healed = isolationFault("a");
            healed.set_isolated(false);
            fleet.group().setFault(healed);
        });
}

BOOST_AUTO_TEST_CASE(plannedSwitchRefusesNoWrite)
{
    FleetOptions options;
    options.group.lag = milliseconds(50);
    options.vms.push_back({"vm-4", "portland", "gulf-maine"});
    options.vms.push_back({"vm-5", "portland", "gulf-maine"});
    options.vms.push_back({"vm-6", "gloucester", "gulf-maine"});
    FleetFixture fleet(options);
    WriteLoad load(fleet);
    BOOST_REQUIRE(FleetFixture::waitUntil([&] { return load.acknowledged().size() > 20; }));
    for (size_t vm = 0; vm < options.vms.size(); ++vm) {
        const std::string member = std::array{"b", "c", "a"}[vm % 3];
        const auto reply = switchPrimaryTo(fleet, vm, member);
        BOOST_REQUIRE_MESSAGE(reply.has_value(), reply.error().message);
        BOOST_TEST_MESSAGE("switch to " << member << ": " << reply->gap_ms() << " ms");
        std::this_thread::sleep_for(milliseconds(300));
        BOOST_TEST(fleet.status(0).groups(0).primary() == member);
    }
    load.stop();
    for (const Refusal &it : load.refusals()) {
        BOOST_TEST_MESSAGE("refused: " << it.message);
    }
    for (const Refusal &it : load.refusals()) {
        BOOST_TEST_MESSAGE("refused: " << it.message);
    }
    BOOST_TEST(load.refusals().empty());
    checkAcknowledgedWrites(fleet, load);
}

// A member that can't catch up in time must not stop the writes: the primary stays.
BOOST_AUTO_TEST_CASE(switchToLaggingMemberIsRefusedAndNotRun)
{
    FleetFixture fleet;
    standin::v1::MemberFault behind = isolationFault("c");
    behind.set_isolated(false);
    behind.set_replication_lag_ms(60000);
    fleet.group().setFault(behind);
    WriteLoad load(fleet);
    BOOST_REQUIRE(FleetFixture::waitUntil([&] { return load.acknowledged().size() > 20; }));
    const auto reply = switchPrimaryTo(fleet, 0, "c");
    BOOST_REQUIRE(!reply.has_value());
    BOOST_TEST((reply.error().outcome == ExecutionOutcome::NotRun));
    std::this_thread::sleep_for(milliseconds(300));
    BOOST_TEST(fleet.status(0).groups(0).primary() == "a");
    load.stop();
    for (const Refusal &it : load.refusals()) {
        BOOST_TEST_MESSAGE("refused: " << it.message);
    }
    BOOST_TEST(load.refusals().empty());
    checkAcknowledgedWrites(fleet, load);
}

} // namespace gentianplank
