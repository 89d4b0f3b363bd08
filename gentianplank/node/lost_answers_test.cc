// End-to-end tests of changes of primary while answers of the store are lost, and their calls are
// performed late.
#include "gentianplank/node/testing/entry_fixture.h"

#include <future>
#include <mutex>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

struct LostAnswersFixture : EntryFixture
{
    LostAnswersFixture()
    {
        awaitService(first->callerAddress());
        awaitService(second->callerAddress());
        store.onPromotion([this](const std::string &, const std::string &member) {
            const std::lock_guard lock(mutex);
            promoted.push_back(member);
            const auto listed = storedRecord().promoted;
            isEveryPromotionListed =
                isEveryPromotionListed && listed && !listed->empty() && listed->back() == member;
            promotions.push_back(std::async(std::launch::async, [this, index = indexOf(member)] {
                std::this_thread::sleep_for(PromotionTime);
                group.promote(index);
            }));
            return 200U;
        });
    }

    static constexpr auto PromotionTime = 1s;

    std::string lastPromoted()
    {
        const std::lock_guard lock(mutex);
        return promoted.empty() ? "" : promoted.back();
    }

    void makePrimaryLeave()
    {
        std::string document = group.discoveryDocument(0);
        document.replace(document.find("ready"), 5, "draining");
        store.put("servers", "g-0", document);
    }

    std::mutex mutex;
    std::vector<std::string> promoted;
    // The stored record listed each promotion before it was requested.
    bool isEveryPromotionListed = true;
    std::vector<std::future<void>> promotions;
};

} // namespace

// Guards against a longer outage: each lost answer of a write that the feed already showed was
// waited for, 1.5 s each.
BOOST_FIXTURE_TEST_CASE(writeWithLostAnswerIsSettledByFeed, LostAnswersFixture)
{
    store.delayWrites([&](const std::string &key, const std::string &) {
        return key == "group/g" ? std::optional<Duration>(0ms) : std::nullopt;
    });
    makePrimaryLeave();
    const auto isReplaced = [&] {
        const GroupRecord record = storedRecord();
        return record.phase == GroupPhase::Serving && record.primary != "g-0";
    };
    const auto end = std::chrono::steady_clock::now() + PromotionTime + 1s;
    while (!isReplaced() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(20ms);
    }
    BOOST_TEST(isReplaced());
    BOOST_TEST(isWriteServed(*first, "a", 1s));
}

// Guards against writes at a deposed primary: the record that named it was written after another
// member had been promoted, since the answer to that write was lost and the next change did not
// settle it.
BOOST_FIXTURE_TEST_CASE(lateRecordWriteDoesNotNameDeposedPrimary, LostAnswersFixture)
{
    bool isLost = false;
    store.delayWrites(
        [&](const std::string &key, const std::string &value) -> std::optional<Duration> {
            const auto record = decodeGroupRecord(value);
            if (isLost || key != "group/g" || record->phase != GroupPhase::Serving) {
                return std::nullopt;
            }
            // The new primary is too busy to report its status.
            isLost = true;
            group.refuseStatus(indexOf(record->primary), true);
            return 2300ms;
        });
    makePrimaryLeave();
    const auto end = std::chrono::steady_clock::now() + 7s;
    while (std::chrono::steady_clock::now() < end) {
        const GroupRecord record = storedRecord();
        const bool namesOther =
            record.phase == GroupPhase::Serving && record.epoch > 2 && record.primary != "g-0";
        if (namesOther) {
            BOOST_REQUIRE_EQUAL(record.primary, lastPromoted());
        }
        std::this_thread::sleep_for(20ms);
    }
    BOOST_TEST(isLost);
    BOOST_TEST(isEveryPromotionListed);
    BOOST_TEST(isWriteServed(*first, "a", 2s));
    BOOST_TEST(isWriteServed(*second, "b", 2s));
}
