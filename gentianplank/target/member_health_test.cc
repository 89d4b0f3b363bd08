#include "gentianplank/target/member_health.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

const Instant Start{1000s};

// Plays the reads of one VM at a group of three members, 20 a second each.
struct Fixture
{
    void play(Duration time, const std::map<std::string, OutcomeSign> &signs,
              Duration timeAtMember = 10ms)
    {
        for (const Instant end = now + time; now < end; now += 50ms) {
            for (const auto &[member, sign] : signs) {
                recordOutcome(health, member, {"o" + std::to_string(n++ % 5), sign, timeAtMember},
                              now);
            }
            update();
        }
    }

    void update()
    {
        for (const HealthChange &it : updateHealth(health, now)) {
            changes.push_back(it);
        }
    }

    HealthState state(const std::string &member) { return health.members[member].state; }

    GroupHealth health;
    std::vector<HealthChange> changes;
    Instant now = Start;
    int n = 0;
};

constexpr OutcomeSign Well = OutcomeSign::Well;
constexpr OutcomeSign Failed = OutcomeSign::Failed;

} // namespace

// Guards against errors to callers until a member that begins to fail has outweighed its past, and
// against second attempts of statements that are faulty themselves.
BOOST_FIXTURE_TEST_CASE(secondFailureInRowMayBeTheMembersFault, Fixture)
{
    play(2s, {{"p", Well}, {"q", Well}, {"s", Well}});
    recordOutcome(health, "q", {"o1", Failed}, now);
    BOOST_TEST(!mayBeAtFault(health, "q", "o1", now));
    recordOutcome(health, "q", {"o1", Failed}, now);
    BOOST_TEST(mayBeAtFault(health, "q", "o1", now));
    BOOST_TEST(!isDoubtful(health, "q", now));
    recordOutcome(health, "q", {"o2", Well}, now);
    BOOST_TEST(!mayBeAtFault(health, "q", "o1", now));
    for (int i = 0; i < 10; ++i) {
        for (const std::string member : {"p", "q", "s"}) {
            recordOutcome(health, member, {"faulty", Failed}, now);
            recordOutcome(health, member, {"o2", Well}, now);
        }
    }
    recordOutcome(health, "q", {"faulty", Failed}, now);
    recordOutcome(health, "q", {"faulty", Failed}, now);
    BOOST_TEST(!mayBeAtFault(health, "q", "faulty", now));
    BOOST_TEST(mayBeAtFault(health, "q", "o1", now));
}

// Guards against a member that fails everything and is remembered for one statement only.
BOOST_FIXTURE_TEST_CASE(memberThatFailsWhileOthersDoNotBecomesSuspect, Fixture)
{
    play(2s, {{"p", Well}, {"q", Well}, {"s", Well}});
    play(3s, {{"p", Well}, {"q", Failed}, {"s", Well}});
    BOOST_TEST((state("q") == HealthState::Suspect));
    BOOST_TEST((state("p") == HealthState::Healthy));
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST((changes[0].after < 1005s));
    BOOST_TEST(withheldMembers(health, 0, false, now).size() == 1U);
}

// Guards against a false alarm from callers' faulty statements, which fail at every member, from
// one organisation whose statements all fail, and from members that refuse at their limit.
BOOST_FIXTURE_TEST_CASE(faultyStatementsAndBusyMembersAreNotSuspect, Fixture)
{
    play(3s, {{"p", Failed}, {"q", Failed}, {"s", Failed}});
    play(3s, {{"p", OutcomeSign::Refused}, {"q", OutcomeSign::Refused}, {"s", Well}});
    BOOST_TEST((state("p") == HealthState::Healthy || state("q") == HealthState::Healthy));
    GroupHealth one;
    for (int i = 0; i < 100; ++i, now += 10ms) {
        recordOutcome(one, "p", {"other" + std::to_string(i % 4), Well, 10ms}, now);
        recordOutcome(one, "p", {"faulty", Failed, 10ms}, now);
        recordOutcome(one, "p", {"faulty", Failed, 10ms}, now);
        recordOutcome(one, "q", {"other" + std::to_string(i % 4), Well, 10ms}, now);
        BOOST_TEST(updateHealth(one, now).empty());
    }
}

// Guards against the loss of a whole group: whatever the outcomes, some member is not suspect.
BOOST_AUTO_TEST_CASE(neverAllMembersAreSuspect)
{
    const bool ok = rc::check("one member is not suspect", [] {
        GroupHealth health;
        Instant now = Start;
        const std::array<std::string, 3> members{"p", "q", "s"};
        for (int i = 0; i < 600; ++i, now += 20ms) {
            const int bad = i % 100 == 0 ? *rc::gen::inRange(0, 8) : i / 100;
            for (size_t m = 0; m < members.size(); ++m) {
                const auto sign = (bad & (1 << m)) != 0 ? OutcomeSign::Lost : Well;
                recordOutcome(health, members.at(m), {"o" + std::to_string(i % 4), sign, 5ms}, now);
            }
            updateHealth(health, now);
            RC_ASSERT(std::any_of(health.members.begin(), health.members.end(), [](const auto &it) {
                return it.second.state != HealthState::Suspect;
            }));
        }
    });
    BOOST_TEST(ok);
}

// Guards against a herd at a member that recovers: it gets 10, 25 and 50 % of its requests first.
BOOST_FIXTURE_TEST_CASE(recoveredMemberReturnsGradually, Fixture)
{
    play(1s, {{"p", Well}, {"q", Well}});
    play(2s, {{"p", Well}, {"q", OutcomeSign::Lost}});
    BOOST_REQUIRE((state("q") == HealthState::Suspect));
    play(1s, {{"p", Well}, {"q", Well}});
    play(1s, {{"p", Well}, {"q", Well}});
    BOOST_REQUIRE((state("q") == HealthState::Returning));
    now = health.members["q"].since;
    for (const size_t percent : {10U, 25U, 50U}) {
        size_t admitted = 0;
        for (size_t i = 0; i < 100; ++i) {
            admitted += withheldMembers(health, i, false, now).empty() ? 1 : 0;
        }
        BOOST_TEST(admitted == percent);
        now += 1s;
    }
    update();
    BOOST_TEST((state("q") == HealthState::Healthy));
    BOOST_TEST(withheldMembers(health, 99, false, now).empty());
}

// Guards against probing that is itself a load: a suspect gets one read in the interval.
BOOST_FIXTURE_TEST_CASE(suspectGetsOneProbeInTheInterval, Fixture)
{
    play(1s, {{"p", Well}, {"q", Well}});
    play(3s, {{"p", Well}, {"q", Failed}});
    int probes = 0;
    for (int i = 0; i < 1000; ++i, now += 2ms) {
        if (withheldMembers(health, 1, true, now).empty()) {
            recordSent(health, "q", now);
            recordOutcome(health, "q", {"o1", Failed, 1ms}, now);
            recordOutcome(health, "p", {"o1", Well, 1ms}, now);
            ++probes;
        }
        update();
    }
    BOOST_TEST((state("q") == HealthState::Suspect));
    BOOST_TEST(probes <= 8);
    BOOST_TEST(probes >= 7);
    BOOST_TEST((probeIntervalFor(61) == 3s));
}

// Guards against slow detection on a VM with few statements: the report of the member's dispatcher
// suffices, and one answer of another member.
BOOST_FIXTURE_TEST_CASE(reportOfDispatcherMakesMemberSuspect, Fixture)
{
    recordOutcome(health, "q", {"o", Failed, 1ms, {20, 19, 10}}, now);
    update();
    BOOST_TEST((state("q") == HealthState::Healthy));
    BOOST_TEST(isDoubtful(health, "q", now));
    recordOutcome(health, "p", {"o", Well, 9ms, {20, 1, 10}}, now);
    update();
    BOOST_TEST((state("q") == HealthState::Suspect));
    // A report loses its weight with its age.
    BOOST_TEST(!isDoubtful(health, "s", now));
    setMemberStart(health, "q", 1);
    setMemberStart(health, "q", 2);
    BOOST_TEST((state("q") == HealthState::Healthy));
}

// Guards against a slow member that answers everything and holds up its callers.
BOOST_FIXTURE_TEST_CASE(slowMemberBecomesSuspectAndQueueingOneDoesNot, Fixture)
{
    recordOutcome(health, "p", {"o", Well, 10ms, {20, 0, 15}}, now);
    recordOutcome(health, "q", {"o", Well, 10ms, {20, 0, 120}}, now);
    update();
    BOOST_TEST(changes.empty());
    recordOutcome(health, "q", {"o", Well, 10ms, {20, 0, 400}}, now);
    update();
    BOOST_TEST((state("q") == HealthState::Suspect));
}
