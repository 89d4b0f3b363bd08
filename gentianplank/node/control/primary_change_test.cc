#include "gentianplank/node/control/primary_change.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

// A group of three members with their reported statuses, and the tasks that a change schedules.
struct Fixture
{
    Fixture()
    {
        for (const std::string id : {"p", "q", "s"}) {
            FleetMember member;
            member.entry = {id, "g", "10.0.0.1:1", "a", 2, false, id == "p", 1};
            view->members[id] = member;
            setStatus(id, id == "p", 3, 100);
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
            demoted.push_back(member.id + "." + std::to_string(term));
        };
        environment.notify = [this](const std::string &, uint64_t epoch, bool) {
            notifiedEpoch = epoch;
        };
        environment.store = [this](const GroupRecord &record, const StoreVersion &version,
                                   const std::function<void(RowResult<StoreVersion>)> &done) {
            stored.push_back(record);
            BOOST_TEST(version == rowVersion);
            if (failsStores) {
                done(tl::make_unexpected(RowError{RowFault::OutcomeUnknown, "test", {}}));
                return;
            }
            ++rowVersion.number;
            done(rowVersion);
        };
        environment.promote =
            [this](const std::string &, const StoreVersion &version, const std::string &member,
                   BootInstant,
                   const std::function<void(platform::PromotionReply, std::string)> &done) {
                BOOST_TEST(version == rowVersion);
                requireListed(member);
                promoted.push_back(member);
                if (promotionAnswer == platform::PromotionReply::Accepted || promotionTakesEffect) {
                    setStatus(member, true, 4, 100);
                }
                done(promotionAnswer, "test");
            };
    }

    void setStatus(const std::string &id, bool isPrimary, uint64_t term, uint64_t position)
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
            "vm-1", [this](bool succeeded) { result = succeeded; });
        change->start(cause, "test");
        return change;
    }

    // A promotion that the stored record doesn't list would be unknown to whoever continues.
    void requireListed(const std::string &member) const
    {
        const auto &listed = stored.empty() ? continued.promoted : stored.back().promoted;
        BOOST_TEST((!listed || std::count(listed->begin(), listed->end(), member) > 0));
    }

    // Continues a change of another process that may have promoted the members.
    std::shared_ptr<PrimaryChange>
    continueChange(std::optional<std::vector<std::string>> promotedBefore)
    {
        continued = {"g", 6, GroupPhase::Changing, "p", 1, 3, false, "vm-0"};
        continued.promoted = std::move(promotedBefore);
        auto change =
            std::make_shared<PrimaryChange>(environment, continued, rowVersion, "vm-1",
                                            [this](bool succeeded) { result = succeeded; });
        change->start(ChangeCause::Other, "unfinished change");
        change->handleReleased("vm-1", 6);
        change->handleReleased("vm-2", 6);
        return change;
    }

    // Runs the tasks in real time until the change ends.
    void runFor(std::chrono::milliseconds duration)
    {
        const auto end = std::chrono::steady_clock::now() + duration;
        while (!result && std::chrono::steady_clock::now() < end) {
            run(50);
            std::this_thread::sleep_for(5ms);
        }
    }

    void run(size_t steps = 1000)
    {
        while (!result && steps-- > 0 && !tasks.empty()) {
            auto task = std::move(tasks.front());
            tasks.erase(tasks.begin());
            task();
        }
    }

    std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
    std::map<std::string, std::optional<platform::MemberStatus>> statuses;
    PrimaryChangeEnvironment environment;
    std::vector<std::function<void()>> tasks;
    GroupRecord continued;
    std::vector<GroupRecord> stored;
    std::vector<std::string> promoted;
    std::vector<std::string> demoted;
    uint64_t notifiedEpoch = 0;
    StoreVersion rowVersion{1, 50};
    bool failsStores = false;
    bool promotionTakesEffect = false;
    platform::PromotionReply promotionAnswer = platform::PromotionReply::Accepted;
    std::optional<bool> result;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(promotesReplicaWithNewestPosition, Fixture)
{
    statuses["p"].reset();
    setStatus("s", false, 3, 140);
    const auto change = begin(false);
    BOOST_TEST(notifiedEpoch == 6U);
    change->handleReleased("vm-1", 6);
    change->handleReleased("vm-2", 6);
    run();
    BOOST_TEST((result == true));
    BOOST_TEST(promoted == std::vector<std::string>{"s"});
    BOOST_REQUIRE(stored.size() == 3U);
    BOOST_TEST((stored[0].phase == GroupPhase::Changing));
    BOOST_TEST((stored[0].promoted == std::vector<std::string>{}));
    BOOST_TEST((stored[1].phase == GroupPhase::Changing));
    BOOST_TEST((stored[1].promoted == std::vector<std::string>{"s"}));
    BOOST_TEST((stored[2].phase == GroupPhase::Serving));
    BOOST_TEST(stored[2].primary == "s");
    BOOST_TEST(stored[2].epoch == 8U);
    BOOST_TEST(!stored[2].promoted);
    BOOST_TEST(demoted == std::vector<std::string>{"p.4"});
}

// Guards against a longer outage: after all VMs had failed to reach a primary, its replacement
// still waited for that primary's status once more, a third of a second each time.
BOOST_FIXTURE_TEST_CASE(doesNotWaitForUnreachablePrimary, Fixture)
{
    setStatus("s", false, 3, 140);
    const auto probeImmediately = environment.probe;
    environment.probe = [probeImmediately](const MemberEntry &member,
                                           const std::function<void(MemberProbe)> &done) {
        if (member.id != "p") {
            probeImmediately(member, done);
        }
    };
    const auto change = begin(ChangeCause::Unreachable);
    change->handleReleased("vm-1", 6);
    change->handleReleased("vm-2", 6);
    run();
    BOOST_TEST((result == true));
    BOOST_TEST(promoted == std::vector<std::string>{"s"});
}

// Guards against promoting a replica without looking at the position of an old primary that may
// still answer.
BOOST_FIXTURE_TEST_CASE(waitsForStatusOfRestartedPrimary, Fixture)
{
    std::function<void(MemberProbe)> pendingProbe;
    const auto probeImmediately = environment.probe;
    environment.probe = [&pendingProbe,
                         probeImmediately](const MemberEntry &member,
                                           const std::function<void(MemberProbe)> &done) {
        if (member.id == "p") {
            pendingProbe = done;
        } else {
            probeImmediately(member, done);
        }
    };
    const auto change = begin(ChangeCause::Other);
    change->handleReleased("vm-1", 6);
    change->handleReleased("vm-2", 6);
    run(200);
    BOOST_TEST(promoted.empty());
    pendingProbe({false, std::nullopt, "test"});
    run();
    BOOST_TEST(promoted.size() == 1U);
}

// Guards against writes that a replaced primary acknowledges: no member is promoted while a VM may
// still use the old primary.
BOOST_FIXTURE_TEST_CASE(promotesOnlyAfterAllVmsReleasedPrimary, Fixture)
{
    const auto change = begin(false);
    change->handleReleased("vm-1", 6);
    run(200);
    BOOST_TEST(promoted.empty());
    BOOST_TEST(!result);
    // A release for an earlier epoch does not count.
    change->handleReleased("vm-2", 5);
    run(200);
    BOOST_TEST(promoted.empty());
    // A restarted process holds no lease under an earlier epoch.
    view->vms[1].incarnation = 2;
    run();
    BOOST_TEST((result == true));
}

// Guards against lost commits in a planned replacement: it waits for a replica that has everything
// the old primary has.
BOOST_FIXTURE_TEST_CASE(orderlyChangeWaitsForReplicaToCatchUp, Fixture)
{
    setStatus("p", true, 3, 120);
    const auto change = begin(true);
    BOOST_TEST(stored[0].isOrderly);
    change->handleReleased("vm-1", 6);
    change->handleReleased("vm-2", 6);
    run(60);
    BOOST_TEST(promoted.empty());
    setStatus("q", false, 3, 120);
    run();
    BOOST_TEST(promoted == std::vector<std::string>{"q"});
    BOOST_TEST((result == true));
}

// Guards against promoting a second member when a promotion took effect but its answer was lost.
BOOST_FIXTURE_TEST_CASE(adoptsPromotionWithUnknownOutcomeThatTookEffect, Fixture)
{
    promotionAnswer = platform::PromotionReply::Unknown;
    promotionTakesEffect = true;
    const auto change = begin(false);
    change->handleReleased("vm-1", 6);
    change->handleReleased("vm-2", 6);
    run();
    BOOST_TEST((result == true));
    BOOST_TEST(promoted.size() == 1U);
    BOOST_TEST(stored.back().primary == promoted[0]);
}

BOOST_FIXTURE_TEST_CASE(continuedChangeAdoptsExistingPrimary, Fixture)
{
    setStatus("q", true, 4, 100);
    const auto change = continueChange(std::vector<std::string>{"q"});
    run();
    BOOST_TEST(promoted.empty());
    BOOST_REQUIRE(stored.size() == 1U);
    BOOST_TEST(stored[0].primary == "q");
    BOOST_TEST(stored[0].term == 4U);
}

// Guards against writes at a deposed primary: a continued change recorded the first member that
// claimed to lead, though another led a later term.
BOOST_FIXTURE_TEST_CASE(continuedChangeAdoptsPrimaryOfNewestTerm, Fixture)
{
    setStatus("q", true, 4, 100);
    setStatus("s", true, 5, 100);
    const auto change = continueChange(std::vector<std::string>{"q", "s"});
    run();
    BOOST_TEST(promoted.empty());
    BOOST_REQUIRE(stored.size() == 1U);
    BOOST_TEST(stored[0].primary == "s");
    BOOST_TEST(stored[0].term == 5U);
}

// Guards against writes at a deposed primary: the store came back from a copy without the record of
// a change that had promoted a member, and the old primary was kept.
BOOST_FIXTURE_TEST_CASE(changeOfUnconfirmedRecordDoesNotKeepOldPrimary, Fixture)
{
    statuses["q"].reset();
    statuses["s"].reset();
    const auto change = begin(ChangeCause::Unconfirmed);
    change->handleReleased("vm-1", 6);
    change->handleReleased("vm-2", 6);
    runFor(2500ms);
    BOOST_TEST(stored.size() == 1U);
    BOOST_TEST(!stored.back().promoted);
    setStatus("q", true, 4, 100);
    setStatus("s", false, 4, 100);
    runFor(1500ms);
    BOOST_TEST((result == true));
    BOOST_TEST(promoted.empty());
    BOOST_TEST(stored.back().primary == "q");
}

// Guards against a member that goes on in an older term: only the recorded primary was demoted.
BOOST_FIXTURE_TEST_CASE(everyMemberThatMayLeadAnOlderTermIsDemoted, Fixture)
{
    setStatus("q", true, 4, 100);
    setStatus("s", true, 5, 100);
    const auto change = continueChange(std::vector<std::string>{"q", "s"});
    run();
    BOOST_TEST((result == true));
    BOOST_TEST((demoted == std::vector<std::string>{"p.5", "q.5"}));
}

// Guards against the adoption of a member before a later promotion takes effect: a record of an
// older process doesn't tell which were requested.
BOOST_FIXTURE_TEST_CASE(changeWithoutListedPromotionsWaitsForThem, Fixture)
{
    setStatus("q", true, 4, 100);
    const auto change = continueChange(std::nullopt);
    runFor(2500ms);
    BOOST_TEST(stored.empty());
    setStatus("s", true, 5, 100);
    runFor(1500ms);
    BOOST_TEST(promoted.empty());
    BOOST_REQUIRE(stored.size() == 1U);
    BOOST_TEST(stored[0].primary == "s");
}

// Guards against writes at a deposed primary: the old primary was kept while the member that an
// earlier change had promoted was too busy to report its status.
BOOST_FIXTURE_TEST_CASE(continuedChangeDoesNotKeepOldPrimaryAfterPromotion, Fixture)
{
    statuses["q"].reset();
    statuses["s"].reset();
    const auto change = continueChange(std::vector<std::string>{"q"});
    runFor(2500ms);
    BOOST_TEST(stored.empty());
    setStatus("q", true, 4, 100);
    run();
    BOOST_TEST(promoted.empty());
    BOOST_TEST((result == true));
    BOOST_REQUIRE(stored.size() == 1U);
    BOOST_TEST(stored[0].primary == "q");
}

// Guards against a group without a primary: the promoted member is gone for good, and only the old
// primary is left.
BOOST_FIXTURE_TEST_CASE(oldPrimaryIsPromotedOnceOthersAreGone, Fixture)
{
    statuses["q"].reset();
    statuses["s"].reset();
    const auto change = continueChange(std::vector<std::string>{"q"});
    runFor(6500ms);
    BOOST_TEST(stored.empty());
    runFor(2000ms);
    BOOST_TEST(promoted == std::vector<std::string>{"p"});
    BOOST_TEST((result == true));
    BOOST_TEST(stored.back().primary == "p");
    BOOST_TEST(stored.back().term == 4U);
}

// Guards against a longer outage: the process that took over waited for a promotion that the former
// one had only listed.
BOOST_FIXTURE_TEST_CASE(listedPromotionIsRequestedAgainAtOnce, Fixture)
{
    const auto change = continueChange(std::vector<std::string>{"s"});
    run();
    BOOST_TEST(promoted == std::vector<std::string>{"s"});
    BOOST_TEST((result == true));
    BOOST_TEST(stored.back().primary == "s");
}

// Guards against a second promotion beside the first, whose member is too busy to report its
// status.
BOOST_FIXTURE_TEST_CASE(noOtherMemberIsPromotedBesideListedOne, Fixture)
{
    statuses["s"].reset();
    const auto change = continueChange(std::vector<std::string>{"s"});
    runFor(2500ms);
    BOOST_TEST(promoted.empty());
    runFor(1500ms);
    BOOST_TEST(promoted == std::vector<std::string>{"q"});
    BOOST_TEST(stored.back().primary == "q");
}

BOOST_FIXTURE_TEST_CASE(endsWhenRecordCannotBeStored, Fixture)
{
    failsStores = true;
    begin(false);
    BOOST_TEST((result == false));
    BOOST_TEST(promoted.empty());
}

BOOST_FIXTURE_TEST_CASE(doesNotPromoteLeavingMember, Fixture)
{
    statuses["p"].reset();
    setStatus("q", false, 3, 200);
    view->members["q"].entry.isLeaving = true;
    const auto change = begin(false);
    change->handleReleased("vm-1", 6);
    change->handleReleased("vm-2", 6);
    run();
    BOOST_TEST(promoted == std::vector<std::string>{"s"});
}

// Guards against two concurrent changes: a VM that had lost the duty continued its change beside
// the new holder's.
BOOST_FIXTURE_TEST_CASE(abandonedChangeDoesNothingMore, Fixture)
{
    const auto change = begin(false);
    run(10);
    change->abandon("another VM holds the promotion duty");
    BOOST_TEST((result == false));
    change->handleReleased("vm-1", 6);
    change->handleReleased("vm-2", 6);
    result.reset();
    run();
    BOOST_TEST(promoted.empty());
    BOOST_TEST(stored.size() == 1U);
    BOOST_TEST(!result);
}

// Guards against a change that restores the old primary while another member may already lead: the
// promotion was accepted, then neither replica answered.
BOOST_FIXTURE_TEST_CASE(acceptedPromotionIsNotRevertedToOldPrimary, Fixture)
{
    promotionAnswer = platform::PromotionReply::Unknown;
    const auto change = begin(ChangeCause::Leaving);
    change->handleReleased("vm-1", 6);
    change->handleReleased("vm-2", 6);
    while (promoted.empty()) {
        run(1);
    }
    statuses["q"].reset();
    statuses["s"].reset();
    runFor(6000ms);
    BOOST_TEST(!result);
    BOOST_TEST(stored.size() == 2U);
    BOOST_TEST((stored.back().phase == GroupPhase::Changing));
    // The promoted member answers again.
    setStatus(promoted[0], true, 4, 100);
    run();
    BOOST_TEST((result == true));
    BOOST_TEST(stored.back().primary == promoted[0]);
}

// A group that acknowledges a commit once one of its replicas has it.
struct SynchronousFixture : Fixture
{
    SynchronousFixture()
    {
        Routing routing;
        routing.groups["g"] = {"g", 16, 1};
        view->routing = std::make_shared<const Routing>(std::move(routing));
        statuses["p"].reset();
    }

    std::shared_ptr<PrimaryChange> beginReleased()
    {
        auto change = begin(ChangeCause::Unreachable);
        change->handleReleased("vm-1", 6);
        change->handleReleased("vm-2", 6);
        return change;
    }
};

// Guards against the loss of an acknowledged commit that only the silent replica holds.
BOOST_FIXTURE_TEST_CASE(waitsForEveryReplicaThatMayHoldCommit, SynchronousFixture)
{
    statuses["q"].reset();
    const auto change = beginReleased();
    run(200);
    BOOST_TEST(promoted.empty());
    setStatus("q", false, 3, 180);
    run();
    BOOST_TEST((result == true));
    BOOST_TEST(promoted == std::vector<std::string>{"q"});
}

// Guards against the loss of a commit that only a leaving replica has received.
BOOST_FIXTURE_TEST_CASE(leavingReplicaWithNewestCommitLeads, SynchronousFixture)
{
    view->members["q"].entry.isLeaving = true;
    setStatus("q", false, 3, 180);
    const auto change = beginReleased();
    run();
    BOOST_TEST(promoted == std::vector<std::string>{"q"});
}

BOOST_FIXTURE_TEST_CASE(leavingReplicaDoesNotLeadWithoutNeed, SynchronousFixture)
{
    view->members["q"].entry.isLeaving = true;
    const auto change = beginReleased();
    run();
    BOOST_TEST(promoted == std::vector<std::string>{"s"});
}

// Guards against a promotion in an evacuated zone, however new the replica's data is.
BOOST_FIXTURE_TEST_CASE(candidateInEvacuatedZoneIsNotPromoted, Fixture)
{
    view->members["q"].entry.zone = "b";
    view->evacuatedZones["b"] = bootNow();
    setStatus("q", false, 3, 100);
    setStatus("s", false, 3, 90);
    statuses["p"].reset();
    const auto change = begin(ChangeCause::Unreachable);
    change->handleReleased("vm-1", 6);
    change->handleReleased("vm-2", 6);
    run();
    BOOST_TEST((promoted == std::vector<std::string>{"s"}));
    BOOST_TEST(result.value_or(false));
}
