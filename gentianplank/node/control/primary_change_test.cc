#include "gentianplank/node/control/primary_change.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

// A group of three with what its members say, and the tasks that a change schedules.
struct Fixture
{
    Fixture()
    {
        for (const std::string id : {"p", "q", "s"}) {
            FleetMember member;
            member.entry = {id, "g", "10.0.0.1:1", "a", 2, false, id == "p", 1};
            view->members[id] = member;
            says(id, id == "p", 3, 100);
        }
        for (const std::string name : {"vm-1", "vm-2"}) {
            view->vms.push_back({name, "10.0.0.1:2", {"a", "r"}, 1, false});
        }
        environment.view = [this] { return view; };
        environment.schedule = [this](Duration, std::function<void()> task) {
            tasks.push_back(std::move(task));
        };
        environment.probe = [this](const MemberEntry &member,
                                   const std::function<void(MemberProbe)> &done) {
            MemberProbe probe;
            probe.status = statuses[member.id];
            probe.isReachable = probe.status.has_value();
            tasks.push_back([probe, done] { done(probe); });
        };
        environment.demote = [this](const MemberEntry &member, uint64_t term) {
            demoted = member.id + "." + std::to_string(term);
        };
        environment.notify = [this](const std::string &, uint64_t epoch, bool) { noticed = epoch; };
        environment.store = [this](const GroupRecord &record, uint64_t version,
                                   const std::function<void(RowResult<uint64_t>)> &done) {
            stored.push_back(record);
            BOOST_TEST(version == rowVersion);
            if (storeFails) {
                done(tl::make_unexpected(RowError{RowFault::OutcomeUnknown, "test", {}}));
                return;
            }
            done(++rowVersion);
        };
        environment.promote =
            [this](const std::string &, uint64_t version, const std::string &member,
                   const std::function<void(platform::PromotionAnswer, std::string)> &done) {
                BOOST_TEST(version == rowVersion);
                promoted.push_back(member);
                if (answer == platform::PromotionAnswer::Accepted || hasEffect) {
                    says(member, true, 4, 100);
                }
                done(answer, "test");
            };
    }

    void says(const std::string &id, bool isPrimary, uint64_t term, uint64_t position)
    {
        statuses[id] = platform::MemberStatus{isPrimary, term, {term, position}, 0, 0, 0};
    }

    std::shared_ptr<PrimaryChange> begin(bool isOrderly)
    {
        return begin(isOrderly ? ChangeCause::Leaving : ChangeCause::Other);
    }

    std::shared_ptr<PrimaryChange> begin(ChangeCause cause)
    {
        auto change = std::make_shared<PrimaryChange>(
            environment, GroupRecord{"g", 5, GroupPhase::Serving, "p", 1, 3, false, ""}, rowVersion,
            "vm-1", [this](bool succeeded) { ended = succeeded; });
        change->start(cause, "test");
        return change;
    }

    void run(size_t steps = 1000)
    {
        while (!ended && steps-- > 0 && !tasks.empty()) {
            auto task = std::move(tasks.front());
            tasks.erase(tasks.begin());
            task();
        }
    }

    std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
    std::map<std::string, std::optional<platform::MemberStatus>> statuses;
    PrimaryChangeEnvironment environment;
    std::vector<std::function<void()>> tasks;
    std::vector<GroupRecord> stored;
    std::vector<std::string> promoted;
    std::string demoted;
    uint64_t noticed = 0;
    uint64_t rowVersion = 50;
    bool storeFails = false;
    bool hasEffect = false;
    platform::PromotionAnswer answer = platform::PromotionAnswer::Accepted;
    std::optional<bool> ended;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(theReplicaThatHoldsMostTakesOver, Fixture)
{
    statuses["p"].reset();
    says("s", false, 3, 140);
    const auto change = begin(false);
    BOOST_TEST(noticed == 6U);
    change->released("vm-1", 6);
    change->released("vm-2", 6);
    run();
    BOOST_TEST((ended == true));
    BOOST_TEST(promoted == std::vector<std::string>{"s"});
    BOOST_REQUIRE(stored.size() == 2U);
    BOOST_TEST((stored[0].phase == GroupPhase::Changing));
    BOOST_TEST((stored[1].phase == GroupPhase::Serving));
    BOOST_TEST(stored[1].primary == "s");
    BOOST_TEST(stored[1].epoch == 7U);
    BOOST_TEST(demoted == "p.4");
}

// Pattern: after all VMs had failed to reach a dark primary, its promotion still waited for one
// more answer of it, a third of a second of every outage.
BOOST_FIXTURE_TEST_CASE(aPrimaryThatNoVmReachesIsNotWaitedFor, Fixture)
{
    says("s", false, 3, 140);
    const auto answerAtOnce = environment.probe;
    environment.probe = [answerAtOnce](const MemberEntry &member,
                                       const std::function<void(MemberProbe)> &done) {
        if (member.id != "p") {
            answerAtOnce(member, done);
        }
    };
    const auto change = begin(ChangeCause::Unreachable);
    change->released("vm-1", 6);
    change->released("vm-2", 6);
    run();
    BOOST_TEST((ended == true));
    BOOST_TEST(promoted == std::vector<std::string>{"s"});
}

// Of a primary that may answer, what it holds is looked at first.
BOOST_FIXTURE_TEST_CASE(aPrimaryThatStartedAnewIsWaitedFor, Fixture)
{
    std::function<void(MemberProbe)> late;
    const auto answerAtOnce = environment.probe;
    environment.probe = [&late, answerAtOnce](const MemberEntry &member,
                                              const std::function<void(MemberProbe)> &done) {
        if (member.id == "p") {
            late = done;
        } else {
            answerAtOnce(member, done);
        }
    };
    const auto change = begin(ChangeCause::Other);
    change->released("vm-1", 6);
    change->released("vm-2", 6);
    run(200);
    BOOST_TEST(promoted.empty());
    late({false, std::nullopt, "test"});
    run();
    BOOST_TEST(promoted.size() == 1U);
}

// An acknowledgement by a replaced primary: nothing is promoted while a VM may still use the old
// one.
BOOST_FIXTURE_TEST_CASE(nothingIsPromotedWhileAVmMayUseTheOldPrimary, Fixture)
{
    const auto change = begin(false);
    change->released("vm-1", 6);
    run(200);
    BOOST_TEST(promoted.empty());
    BOOST_TEST(!ended);
    // An answer to an earlier notice does not count.
    change->released("vm-2", 5);
    run(200);
    BOOST_TEST(promoted.empty());
    // A process that started anew uses nothing that it did not read since.
    view->vms[1].incarnation = 2;
    run();
    BOOST_TEST((ended == true));
}

// A planned replacement must lose no commit: it waits for a replica that holds everything.
BOOST_FIXTURE_TEST_CASE(anOrderlyChangeWaitsForAReplicaToHoldEverything, Fixture)
{
    says("p", true, 3, 120);
    const auto change = begin(true);
    BOOST_TEST(stored[0].isOrderly);
    change->released("vm-1", 6);
    change->released("vm-2", 6);
    run(60);
    BOOST_TEST(promoted.empty());
    says("q", false, 3, 120);
    run();
    BOOST_TEST(promoted == std::vector<std::string>{"q"});
    BOOST_TEST((ended == true));
}

// A promotion whose answer was lost took effect: its member is adopted, not another promoted.
BOOST_FIXTURE_TEST_CASE(aPromotionWithAnUnknownOutcomeIsSeenToHaveHappened, Fixture)
{
    answer = platform::PromotionAnswer::Unknown;
    hasEffect = true;
    const auto change = begin(false);
    change->released("vm-1", 6);
    change->released("vm-2", 6);
    run();
    BOOST_TEST((ended == true));
    BOOST_TEST(promoted.size() == 1U);
    BOOST_TEST(stored[1].primary == promoted[0]);
}

BOOST_FIXTURE_TEST_CASE(aHolderThatTakesAChangeUpAdoptsWhoLeadsAlready, Fixture)
{
    says("q", true, 4, 100);
    auto change = std::make_shared<PrimaryChange>(
        environment, GroupRecord{"g", 6, GroupPhase::Changing, "p", 1, 3, false, "vm-0"},
        rowVersion, "vm-1", [this](bool succeeded) { ended = succeeded; });
    change->start(ChangeCause::Other, "left unfinished");
    change->released("vm-1", 6);
    change->released("vm-2", 6);
    run();
    BOOST_TEST(promoted.empty());
    BOOST_REQUIRE(stored.size() == 1U);
    BOOST_TEST(stored[0].primary == "q");
    BOOST_TEST(stored[0].term == 4U);
}

BOOST_FIXTURE_TEST_CASE(aRecordThatWasNotStoredEndsTheChange, Fixture)
{
    storeFails = true;
    begin(false);
    BOOST_TEST((ended == false));
    BOOST_TEST(promoted.empty());
}

BOOST_FIXTURE_TEST_CASE(aMemberThatLeavesOrRefusesIsNotPromoted, Fixture)
{
    statuses["p"].reset();
    says("q", false, 3, 200);
    view->members["q"].entry.isLeaving = true;
    const auto change = begin(false);
    change->released("vm-1", 6);
    change->released("vm-2", 6);
    run();
    BOOST_TEST(promoted == std::vector<std::string>{"s"});
}

// Pattern: a VM that had lost the duty went on with its change beside the new holder.
BOOST_FIXTURE_TEST_CASE(aChangeWhoseHolderLostTheDutyDoesNothingMore, Fixture)
{
    const auto change = begin(false);
    run(10);
    change->abandon("the duty is held by another VM");
    BOOST_TEST((ended == false));
    change->released("vm-1", 6);
    change->released("vm-2", 6);
    ended.reset();
    run();
    BOOST_TEST(promoted.empty());
    BOOST_TEST(stored.size() == 1U);
    BOOST_TEST(!ended);
}
