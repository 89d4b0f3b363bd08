// End-to-end tests of a group's record that differs from what its members say.
#include "gentianplank/node/testing/entry_fixture.h"

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

struct DisputedRecordFixture : EntryFixture
{
    DisputedRecordFixture()
    {
        awaitService(first->callerAddress());
        awaitService(second->callerAddress());
    }

    // Stores the members' entries with the roles that they have.
    void reportRoles()
    {
        for (size_t i = 0; i < 3; ++i) {
            store.put("servers", "g-" + std::to_string(i), group.discoveryDocument(i));
        }
    }
};

} // namespace

// Guards against a group without service: the record named a member that had been replaced, which
// refused every write, and nothing corrected it.
BOOST_FIXTURE_TEST_CASE(memberThatLeadsReplacesRecordedPrimary, DisputedRecordFixture)
{
    BOOST_TEST(storedRecord().primary == "g-0");
    group.promote(2);
    reportRoles();
    BOOST_TEST(isWriteServed(*first, "a", 4s));
    BOOST_TEST(isWriteServed(*second, "b", 1s));
    BOOST_TEST(storedRecord().primary == "g-2");
}

// Guards against a change of primary because of an outdated entry.
BOOST_FIXTURE_TEST_CASE(claimOfReplicaDoesNotReplacePrimary, DisputedRecordFixture)
{
    const GroupRecord record = storedRecord();
    std::string document = group.discoveryDocument(1);
    document.replace(document.find("replica"), 7, "primary");
    store.put("servers", "g-1", document);
    std::this_thread::sleep_for(4s);
    BOOST_TEST((storedRecord() == record));
    BOOST_TEST(isWriteServed(*first, "a", 1s));
}

// Guards against the same because of a primary that reports its role late.
BOOST_FIXTURE_TEST_CASE(missingClaimDoesNotReplacePrimary, DisputedRecordFixture)
{
    const GroupRecord record = storedRecord();
    std::string document = group.discoveryDocument(0);
    document.replace(document.find("primary"), 7, "replica");
    store.put("servers", "g-0", document);
    std::this_thread::sleep_for(4s);
    BOOST_TEST((storedRecord() == record));
    BOOST_TEST(isWriteServed(*second, "a", 1s));
}
