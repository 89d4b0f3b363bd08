#include "gentianplank/statement/dispatcher.h"

#include "gentianplank/base/digest.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

constexpr char Key[] = "moving";

// A member that answers nothing while it is held.
struct FakeMember
{
    std::mutex held;
    std::atomic<int> calls{0};
};

class FakeConnection : public MemberConnection
{
public:
    explicit FakeConnection(FakeMember &member)
        : m_member(member)
    {}

    tl::expected<target::v1::Done, MemberError> call(target::v1::MemberRequest /*request*/,
                                                     Instant /*deadline*/) override
    {
        ++m_member.calls;
        const std::lock_guard lock(m_member.held);
        target::v1::Done done;
        done.set_idle(true);
        toWire({1, 1}, done.mutable_position());
        return done;
    }

    tl::expected<common::v1::AnswerEnd, MemberError> pull(target::v1::MemberRequest /*request*/,
                                                          const ChunkSink & /*sink*/,
                                                          Instant /*deadline*/) override
    {
        ++m_member.calls;
        return tl::unexpected(MemberError{});
    }

    bool isUsable() const override { return true; }

private:
    FakeMember &m_member;
};

class FakeConnector : public MemberConnector
{
public:
    explicit FakeConnector(FakeMember &member)
        : m_member(member)
    {}

    tl::expected<std::unique_ptr<MemberConnection>, MemberError>
    connect(const std::string & /*address*/, Instant /*deadline*/) override
    {
        return std::make_unique<FakeConnection>(m_member);
    }

private:
    FakeMember &m_member;
};

// Returns a configuration in which the organisation has the key, or nobody if it is empty.
std::shared_ptr<const ConfigurationView> configurationOf(uint64_t revision,
                                                         const std::string &holder)
{
    ConfigurationDocument document;
    document.set_revision(revision);
    if (!holder.empty()) {
        configuration::v1::KeyGrant *grant = document.add_keys();
        grant->set_digest(keyDigest(Key));
        grant->set_organisation(holder);
    }
    return std::make_shared<const ConfigurationView>(std::move(document));
}

// A dispatcher for a group of one member with one slot.
struct Fixture
{
    Fixture() { publishGroup(1, 4, {"m"}); }

    // Publishes the group with its first member as the primary; only members that report are
    // heard of.
    void publishGroup(uint32_t slots, uint32_t connections, const std::vector<std::string> &members,
                      size_t reporting = 1)
    {
        configuration::v1::Target target;
        target.set_group("g");
        target.set_slots(slots);
        target.set_connections(connections);
        for (const std::string &name : members) {
            configuration::v1::Member *it = target.add_members();
            it->set_name(name);
            it->set_address(name + ":1");
            it->set_zone("a");
            it->set_region("r");
        }
        auto view = std::make_shared<GroupView>(makeGroupView(target));
        for (size_t i = 0; i < reporting; ++i) {
            MemberReport report;
            report.member = members[i];
            report.role = i == 0 ? Role::Primary : Role::Replica;
            report.position = {1, 1};
            report.receivedAt = steadyNow();
            applyReport(*view, report);
        }
        groups.publish(std::move(view));
    }

    StatementRequest read(const std::string &organisation, uint64_t revision) const
    {
        StatementRequest request;
        request.organisation = organisation;
        request.keyDigest = keyDigest(Key);
        request.revision = revision;
        request.group = "g";
        request.requestId = organisation + "/1";
        request.statement.set_read_only(true);
        request.deadline = steadyNow() + 5s;
        return request;
    }

    // Runs something that waits for the slot or the connection of a read while the key moves to
    // `holder`, and returns its result.
    template <typename Run>
    auto whileKeyMoves(const std::string &holder, Run run)
    {
        std::unique_lock lock(member.held);
        auto first =
            std::async(std::launch::async, [&] { return dispatcher.execute(read("t1", 7)); });
        while (member.calls == 0) {
            std::this_thread::sleep_for(1ms);
        }
        auto second = std::async(std::launch::async, run);
        while (admission.waiting("g/m") + pool.waiting("m:1") == 0) {
            std::this_thread::sleep_for(1ms);
        }
        setConfiguration(configurationOf(8, holder));
        lock.unlock();
        BOOST_TEST(first.get().has_value());
        return second.get();
    }

    tl::expected<StatementAnswer, Refusal> runWhileKeyMoves(const std::string &holder,
                                                            bool isRead = true)
    {
        StatementRequest request = read("t1", 7);
        request.statement.set_read_only(isRead);
        return whileKeyMoves(holder, [&] { return dispatcher.execute(request); });
    }

    void setConfiguration(std::shared_ptr<const ConfigurationView> configuration)
    {
        const std::lock_guard lock(mutex);
        current = std::move(configuration);
    }

    FakeMember member;
    FakeConnector connector{member};
    GroupViewRegistry groups;
    ConnectionPool pool{connector};
    Admission admission{10};
    std::mutex mutex;
    std::shared_ptr<const ConfigurationView> current = configurationOf(7, "t1");
    Dispatcher dispatcher{{groups, pool, admission, {"a", "r"}, [this] {
                               const std::lock_guard lock(mutex);
                               return current;
                           }}};
};

} // namespace

// Guards against a statement that waits for a slot and then runs for the organisation that had its
// key before.
BOOST_FIXTURE_TEST_CASE(waitingStatementDoesNotRunForFormerOrganisation, Fixture)
{
    const auto moved = runWhileKeyMoves("t2");
    BOOST_REQUIRE(!moved.has_value());
    BOOST_TEST((moved.error().reason == Reason::KeyRefused));
    BOOST_TEST((moved.error().outcome == ExecutionOutcome::NotRun));
    BOOST_TEST(member.calls == 1);
}

// Guards against the same with a withdrawn key.
BOOST_FIXTURE_TEST_CASE(waitingStatementDoesNotRunAfterItsKeyIsWithdrawn, Fixture)
{
    BOOST_TEST(!runWhileKeyMoves("").has_value());
    BOOST_TEST(member.calls == 1);
}

// Guards against refusals by a dispatcher whose configuration is older than the entry VM's, and of
// statements that wait while other things change.
BOOST_FIXTURE_TEST_CASE(laterConfigurationDecides, Fixture)
{
    BOOST_TEST(runWhileKeyMoves("t1").has_value());
    BOOST_TEST(dispatcher.execute(read("t2", 9)).has_value());
    BOOST_TEST(!dispatcher.execute(read("t2", 8)).has_value());
}

// Guards against the same for a statement that has a slot and waits for a pooled connection.
BOOST_FIXTURE_TEST_CASE(waitForConnectionDoesNotRunForFormerOrganisation, Fixture)
{
    publishGroup(2, 2, {"m"});
    for (const bool isRead : {true, false}) {
        setConfiguration(configurationOf(7, "t1"));
        member.calls = 0;
        const auto moved = runWhileKeyMoves("t2", isRead);
        BOOST_REQUIRE(!moved.has_value());
        BOOST_TEST((moved.error().reason == Reason::KeyRefused));
        BOOST_TEST((moved.error().outcome == ExecutionOutcome::NotRun));
        BOOST_TEST(member.calls == 1);
    }
}

// Guards against the same for a pull.
BOOST_FIXTURE_TEST_CASE(pullWaitingForConnectionDoesNotRunForFormerOrganisation, Fixture)
{
    publishGroup(2, 2, {"m"});
    const auto moved = whileKeyMoves("t2", [&] {
        return dispatcher.pull(read("t1", 7),
                               [](const common::v1::Chunk & /*chunk*/) { return true; });
    });
    BOOST_REQUIRE(!moved.has_value());
    BOOST_TEST((moved.error().reason == Reason::KeyRefused));
    BOOST_TEST(member.calls == 1);
}

// Guards against a transaction that goes on for the former organisation at a dispatcher that knows
// the later configuration; the entry VM may not.
BOOST_FIXTURE_TEST_CASE(transactionEndsWhenItsKeyMoves, Fixture)
{
    auto transaction = dispatcher.begin(read("t1", 7));
    BOOST_REQUIRE(transaction.has_value());
    setConfiguration(configurationOf(8, "t2"));
    const auto step = (*transaction)->execute({}, steadyNow() + 1s);
    BOOST_REQUIRE(!step.has_value());
    BOOST_TEST((step.error().reason == Reason::KeyRefused));
    const auto commit = (*transaction)->commit({"t1/2", false, steadyNow() + 1s});
    BOOST_REQUIRE(!commit.has_value());
    BOOST_TEST((commit.error().outcome == ExecutionOutcome::NotRun));
    BOOST_TEST(member.calls == 1);
}

// Guards against a commit that waits until a replica can confirm it and is then sent for the former
// organisation.
BOOST_FIXTURE_TEST_CASE(commitWaitingForReplicaIsNotSentForFormerOrganisation, Fixture)
{
    const std::vector<std::string> members = {"m", "n", "o"};
    publishGroup(1, 4, members);
    auto transaction = dispatcher.begin(read("t1", 7));
    BOOST_REQUIRE(transaction.has_value());
    auto commit = std::async(std::launch::async, [&] {
        return (*transaction)->commit({"t1/2", false, steadyNow() + 5s});
    });
    std::this_thread::sleep_for(200ms);
    setConfiguration(configurationOf(8, "t2"));
    publishGroup(1, 4, members, 2);
    const auto answer = commit.get();
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST((answer.error().reason == Reason::KeyRefused));
    BOOST_TEST((answer.error().outcome == ExecutionOutcome::NotRun));
    BOOST_TEST(member.calls == 1);
}
