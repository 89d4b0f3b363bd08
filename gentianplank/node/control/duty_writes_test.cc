#include "gentianplank/node/control/duty_writes.h"

#include "gentianplank/vm/fleet_records.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace gentianplank;

namespace {

constexpr char GroupRow[] = "group/g";
constexpr char VmRow[] = "vm/vm-2";

StoreVersion version(uint64_t number)
{
    return {1, number};
}

// A store that keeps only row versions and applies a transaction if every condition holds.
struct Versions
{
    bool change(const RowTransaction &transaction)
    {
        const bool conditionsHold =
            std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                        [&](const RowCondition &it) { return rows[it.key] == it.version; });
        if (conditionsHold) {
            ++newest.number;
            for (const StoredRow &it : transaction.writes) {
                rows[it.key] = newest;
            }
            for (const RowCondition &it : transaction.erasures) {
                rows[it.key] = {};
            }
        }
        return conditionsHold;
    }

    std::map<std::string, StoreVersion> rows{
        {PromotionDutyKey, version(7)}, {GroupRow, version(8)}, {VmRow, version(9)}};
    StoreVersion newest = version(9);
};

GroupRecord changing()
{
    return {"g", 5, GroupPhase::Changing, "p", 1, 3, false, "vm-1", 1};
}

} // namespace

BOOST_AUTO_TEST_CASE(holderOfDutyCanWrite)
{
    Versions store;
    BOOST_TEST(store.change(groupRecordWrite(changing(), version(8), version(7))));
    BOOST_TEST(store.rows[GroupRow] == version(10));
    BOOST_TEST(!store.change(groupRecordWrite(changing(), version(8), version(7))));
    BOOST_TEST(store.change(vmRowErasure("vm-2", version(9), version(7))));
    BOOST_TEST(isAbsent(store.rows[VmRow]));
}

// Guards against writes of a holder that has lost the duty without knowing it. Cut off from the
// store, it continues its change as soon as the store is back, before it learns that another VM has
// acquired the duty. That VM has continued the stored change and promoted a member, while the
// group's row is still as the first holder left it.
BOOST_AUTO_TEST_CASE(formerHolderCannotStoreGroupRecord)
{
    Versions store;
    BOOST_REQUIRE(store.change(groupRecordWrite(changing(), version(8), version(7))));
    const StoreVersion versionLeft = store.rows[GroupRow];
    store.rows[PromotionDutyKey] = version(20);

    GroupRecord serving = changing();
    serving.phase = GroupPhase::Serving;
    BOOST_TEST(!store.change(groupRecordWrite(serving, versionLeft, version(7))));
    BOOST_TEST(store.change(groupRecordWrite(serving, versionLeft, version(20))));
}

// Guards against the same former holder erasing the rows of VMs that it takes to be gone because it
// was cut off from them too.
BOOST_AUTO_TEST_CASE(formerHolderCannotEraseVmRow)
{
    Versions store;
    store.rows[PromotionDutyKey] = version(20);
    BOOST_TEST(!store.change(vmRowErasure("vm-2", version(9), version(7))));
    BOOST_TEST(store.rows[VmRow] == version(9));
}

// Guards against a second promotion on the basis of an outdated record. The holder of the duty had
// finished a change, did not see its own write for 0.4 s, took the change to be unfinished, and had
// another member promoted besides the current primary.
BOOST_AUTO_TEST_CASE(promotionRequiresUnchangedDutyAndGroupRecord)
{
    RowSet read;
    read.rows = {{FleetTable, PromotionDutyKey, "", version(7), false},
                 {FleetTable, GroupRow, "", version(11), false}};
    BOOST_TEST(allowsPromotion(read, version(7), "g", version(11)));
    BOOST_TEST(!allowsPromotion(read, version(7), "g", version(8)));
    BOOST_TEST(!allowsPromotion(read, version(6), "g", version(11)));
    BOOST_TEST(!allowsPromotion(read, version(7), "h", version(11)));
    read.hasMore = true;
    BOOST_TEST(allowsPromotion(read, version(7), "h", version(11)));
    BOOST_TEST(!allowsPromotion(RowSet{}, version(7), "g", version(11)));
}

BOOST_AUTO_TEST_CASE(showsAllWritesOnlyWhenProvenAfterThem)
{
    const BootInstant at = bootNow();
    const auto second = std::chrono::seconds(1);
    BOOST_TEST(showsAllWrites(at, at - second, at - second));
    BOOST_TEST(!showsAllWrites(at, at + second, at - second));
    BOOST_TEST(!showsAllWrites(at, at - second, at + second));
}
