#include "gentianplank/node/control/primary_selection.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;

namespace {

// A change of the primary p, of term 3, in a group of p, q and s.
struct Fixture
{
    // Adds the report of a member that leads or follows `term`.
    void report(const std::string &id, bool isPrimary, uint64_t term, uint64_t position = 100)
    {
        reports.push_back({{id, "g", "10.0.0.1:1", "a", 2, false, isPrimary, 1},
                           true,
                           platform::MemberStatus{isPrimary, term, {term, position}, 0, 0, 0}});
    }

    void reportBusy(const std::string &id)
    {
        reports.push_back({{id, "g", "10.0.0.1:1", "a", 2, false, false, 1}, true, std::nullopt});
    }

    // Returns the step and the member, as "step member".
    std::string select() const
    {
        SelectionInput input{record, reports};
        input.listedReplicas = 2;
        input.hasCatchUpExpired = hasCatchUpExpired;
        input.arePromotionsSettled = arePromotionsSettled;
        input.hasPromotedWaitExpired = hasPromotedWaitExpired;
        input.lastAccepted = lastAccepted;
        const Selection selection = selectPrimary(input);
        const std::string member =
            selection.member == nullptr ? "" : " " + selection.member->entry.id;
        return toString(selection.step) + member;
    }

    // Lists the members whose promotion may have been requested.
    void list(std::vector<std::string> promoted) { record.promoted = std::move(promoted); }

    GroupRecord record{.group = "g",
                       .epoch = 6,
                       .phase = GroupPhase::Changing,
                       .primary = "p",
                       .primaryStartedAtMs = 1,
                       .term = 3,
                       .isOrderly = false,
                       .writer = "vm-1",
                       .promoted = std::vector<std::string>{}};
    std::vector<MemberReport> reports;
    bool hasCatchUpExpired = false;
    bool arePromotionsSettled = false;
    bool hasPromotedWaitExpired = false;
    std::string lastAccepted;
};

} // namespace

// Guards against writes at a deposed primary: of two members that led, the one that answered first
// was recorded, though its term was the older one.
BOOST_FIXTURE_TEST_CASE(memberThatLeadsNewestTermIsAdopted, Fixture)
{
    list({"q", "s"});
    report("p", false, 4);
    report("q", true, 4);
    report("s", true, 5);
    BOOST_TEST(select() == "adopt s");
    std::swap(reports[1], reports[2]);
    BOOST_TEST(select() == "adopt s");
}

// Guards against the same while the member that leads the newest term doesn't answer.
BOOST_FIXTURE_TEST_CASE(memberIsNotAdoptedWhileAnotherKnowsLaterTerm, Fixture)
{
    report("p", false, 5);
    report("q", true, 4);
    reportBusy("s");
    BOOST_TEST(select() == "await_primary");
    reports.pop_back();
    report("s", true, 5);
    BOOST_TEST(select() == "adopt s");
}

// Guards against a second promotion beside the first, whose member missed one status query.
BOOST_FIXTURE_TEST_CASE(noMemberIsPromotedWhileAnotherLeadsLaterTerm, Fixture)
{
    report("p", true, 3);
    report("q", false, 4);
    reportBusy("s");
    BOOST_TEST(select() == "await_primary");
    arePromotionsSettled = true;
    BOOST_TEST(select() == "promote q");
}

// Guards against a longer outage: the record may lack the term of a primary that nobody replaced.
BOOST_FIXTURE_TEST_CASE(termsOfUnreplacedPrimaryAreNoLaterTerms, Fixture)
{
    record.term = 0;
    report("p", true, 4);
    report("q", false, 4);
    report("s", false, 4);
    BOOST_TEST(select() == "promote q");
    record.term = 3;
    BOOST_TEST(select() == "promote q");
    record.term = 0;
    reports.erase(reports.begin());
    BOOST_TEST(select() == "promote q");
}

// Guards against writes at a deposed primary: the member that was promoted after this one doesn't
// answer, or doesn't lead yet.
BOOST_FIXTURE_TEST_CASE(memberIsNotAdoptedWhileALaterPromotionMayTakeEffect, Fixture)
{
    list({"q", "s"});
    report("p", false, 4);
    report("q", true, 4);
    reportBusy("s");
    BOOST_TEST(select() == "await_primary");
    reports.pop_back();
    report("s", false, 4, 90);
    BOOST_TEST(select() != "adopt q");
    arePromotionsSettled = true;
    BOOST_TEST(select() == "adopt q");
}

// Guards against the same if the member was promoted twice: it may lead since the first time.
BOOST_FIXTURE_TEST_CASE(memberThatWasPromotedTwiceIsConfirmedByTheOthers, Fixture)
{
    list({"q", "s", "q"});
    report("p", false, 4);
    report("q", true, 4);
    reportBusy("s");
    BOOST_TEST(select() == "await_primary");
    arePromotionsSettled = true;
    BOOST_TEST(select() != "adopt q");
    lastAccepted = "q";
    BOOST_TEST(select() == "adopt q");
}

BOOST_FIXTURE_TEST_CASE(memberThatWasPromotedLastIsAdoptedWithoutTheOthers, Fixture)
{
    list({"q", "s"});
    report("p", true, 3);
    reportBusy("q");
    report("s", true, 4);
    BOOST_TEST(select() == "adopt s");
}

// Guards against a longer outage: the old primary was silent, so its term wasn't known.
BOOST_FIXTURE_TEST_CASE(promotedMemberIsAdoptedAlthoughOldTermIsUnknown, Fixture)
{
    record.term = 0;
    list({"q"});
    report("q", true, 4);
    report("s", false, 4);
    BOOST_TEST(select() == "adopt q");
    list({"p"});
    reports.clear();
    report("p", true, 3);
    BOOST_TEST(select() == "await_primary");
}

// Guards against a group without a primary: the platform accepts the promotion of the present
// primary, which goes on in its term.
BOOST_FIXTURE_TEST_CASE(oldPrimaryIsAdoptedAfterItsPromotionIsSettled, Fixture)
{
    list({"q", "p"});
    report("p", true, 3);
    hasCatchUpExpired = true;
    BOOST_TEST(select() == "await_primary");
    arePromotionsSettled = true;
    BOOST_TEST(select() == "query_again");
    lastAccepted = "p";
    BOOST_TEST(select() == "adopt p");
    reports.clear();
    report("p", true, 5);
    arePromotionsSettled = false;
    BOOST_TEST(select() == "adopt p");
}

// Guards against the loss of an acknowledged commit that a member without it would roll back.
BOOST_FIXTURE_TEST_CASE(memberWithoutAllCommitsIsNoLastResort, Fixture)
{
    list({"q"});
    report("p", true, 3, 120);
    reports.push_back({{"s", "g", "10.0.0.1:1", "a", 2, true, false, 1},
                       true,
                       platform::MemberStatus{false, 3, {3, 90}, 0, 0, 0}});
    hasCatchUpExpired = true;
    arePromotionsSettled = true;
    BOOST_TEST(select() == "query_again");
    hasPromotedWaitExpired = true;
    BOOST_TEST(select() == "promote p");
}

BOOST_FIXTURE_TEST_CASE(oldPrimaryIsKeptIfNoMemberWasPromoted, Fixture)
{
    report("p", true, 3);
    reportBusy("q");
    BOOST_TEST(select() == "query_again");
    hasCatchUpExpired = true;
    BOOST_TEST(select() == "keep_old_primary p");
}

BOOST_FIXTURE_TEST_CASE(addedPromotionsAreListedInOrder, Fixture)
{
    addPromotion(record, "q");
    addPromotion(record, "q");
    addPromotion(record, "s");
    BOOST_TEST((record.promoted == std::vector<std::string>{"q", "s"}));
    for (int i = 0; i < 10; ++i) {
        addPromotion(record, "q");
        addPromotion(record, "s");
    }
    BOOST_TEST(!record.promoted);
    addPromotion(record, "q");
    BOOST_TEST(!record.promoted);
}

BOOST_FIXTURE_TEST_CASE(reportsAreDescribedByRoleTermAndPosition, Fixture)
{
    report("p", true, 3);
    reportBusy("q");
    reports.push_back({{"s", "g", "10.0.0.1:1", "a", 2, false, false, 1}, false, std::nullopt});
    BOOST_TEST(toString(reports) == "p:primary:3:3.100,q:busy,s:silent");
}
