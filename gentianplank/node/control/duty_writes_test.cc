#include "gentianplank/node/control/duty_writes.h"

#include "gentianplank/vm/fleet_records.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace gentianplank;

namespace {

constexpr char GroupRow[] = "group/g";
constexpr char VmRow[] = "vm/vm-2";

// The versions of the store's rows; it applies a transaction when every condition holds.
struct Versions
{
    bool change(const RowTransaction &transaction)
    {
        const bool holds =
            std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                        [&](const RowCondition &it) { return rows[it.key] == it.version; });
        if (holds) {
            ++newest;
            for (const StoredRow &it : transaction.writes) {
                rows[it.key] = newest;
            }
            for (const RowCondition &it : transaction.erasures) {
                rows[it.key] = 0;
            }
        }
        return holds;
    }

    std::map<std::string, uint64_t> rows{{PromotionDutyKey, 7}, {GroupRow, 8}, {VmRow, 9}};
    uint64_t newest = 9;
};

GroupRecord changing()
{
    return {"g", 5, GroupPhase::Changing, "p", 1, 3, false, "vm-1"};
}

} // namespace

BOOST_AUTO_TEST_CASE(theHolderOfTheDutyWrites)
{
    Versions store;
    BOOST_TEST(store.change(groupRecordWrite(changing(), 8, 7)));
    BOOST_TEST(store.rows[GroupRow] == 10U);
    BOOST_TEST(!store.change(groupRecordWrite(changing(), 8, 7)));
    BOOST_TEST(store.change(vmRowErasure("vm-2", 9, 7)));
    BOOST_TEST(store.rows[VmRow] == 0U);
}

// Pattern: a holder that is cut off from the store goes on with what it had begun when the store is
// back, before it hears that another VM has taken the duty. The other took the change up as it was
// stored, and promoted; the group's row is as the first one left it.
BOOST_AUTO_TEST_CASE(aVmThatLostTheDutyUnheardEndsNoChange)
{
    Versions store;
    BOOST_REQUIRE(store.change(groupRecordWrite(changing(), 8, 7)));
    const uint64_t left = store.rows[GroupRow];
    store.rows[PromotionDutyKey] = 20;

    GroupRecord serving = changing();
    serving.phase = GroupPhase::Serving;
    BOOST_TEST(!store.change(groupRecordWrite(serving, left, 7)));
    BOOST_TEST(store.change(groupRecordWrite(serving, left, 20)));
}

// Pattern: the same VM, cut off from all others too, takes them to be gone.
BOOST_AUTO_TEST_CASE(aVmThatLostTheDutyUnheardErasesNoRow)
{
    Versions store;
    store.rows[PromotionDutyKey] = 20;
    BOOST_TEST(!store.change(vmRowErasure("vm-2", 9, 7)));
    BOOST_TEST(store.rows[VmRow] == 9U);
}

// Pattern: the holder of the duty had ended a change, did not hear of its own write for 0.4 s, took
// the change for unfinished, and had another member promoted beside the one that led.
BOOST_AUTO_TEST_CASE(nobodyIsPromotedOverARecordThatIsNoLongerTheOneKnown)
{
    RowSet read;
    read.rows = {{FleetTable, PromotionDutyKey, "", 7, false},
                 {FleetTable, GroupRow, "", 11, false}};
    BOOST_TEST(allowsPromotion(read, 7, "g", 11));
    BOOST_TEST(!allowsPromotion(read, 7, "g", 8));
    BOOST_TEST(!allowsPromotion(read, 6, "g", 11));
    BOOST_TEST(!allowsPromotion(read, 7, "h", 11));
    read.hasMore = true;
    BOOST_TEST(allowsPromotion(read, 7, "h", 11));
    BOOST_TEST(!allowsPromotion(RowSet{}, 7, "g", 11));
}

BOOST_AUTO_TEST_CASE(aRecordIsActedOnAfterAllWritesAreKnown)
{
    const BootInstant at = bootNow();
    const auto second = std::chrono::seconds(1);
    BOOST_TEST(showsAllWrites(at, at - second, at - second));
    BOOST_TEST(!showsAllWrites(at, at + second, at - second));
    BOOST_TEST(!showsAllWrites(at, at - second, at + second));
}
