#include "gentianplank/target/group_record.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(encodedRecordIsDecodedUnchanged)
{
    GroupRecord record{"g", 12, GroupPhase::Changing, "i-1", 1771888662501, 4, true, "vm-1"};
    BOOST_TEST((decodeGroupRecord(encodeGroupRecord(record)) == record));
    BOOST_TEST(!decodeGroupRecord("{\"group\":\"g\"}"));
    BOOST_TEST(!decodeGroupRecord(""));
}

BOOST_AUTO_TEST_CASE(eraOfRecordIsKeptIfItsWriterKnowsIt)
{
    GroupRecord record;
    record.group = "g";
    BOOST_TEST(!decodeGroupRecord(encodeGroupRecord(record))->era);
    record.era = 2;
    BOOST_TEST((decodeGroupRecord(encodeGroupRecord(record)) == record));
}

BOOST_AUTO_TEST_CASE(promotedMembersOfRecordAreKeptIfItsWriterListsThem)
{
    GroupRecord record;
    record.group = "g";
    record.phase = GroupPhase::Changing;
    BOOST_TEST(!decodeGroupRecord(encodeGroupRecord(record))->promoted);
    record.promoted = std::vector<std::string>{};
    BOOST_TEST((decodeGroupRecord(encodeGroupRecord(record)) == record));
    record.promoted = std::vector<std::string>{"i-1", "i-2", "i-1"};
    BOOST_TEST((decodeGroupRecord(encodeGroupRecord(record)) == record));
}

BOOST_AUTO_TEST_CASE(primaryIsUsableOnlyUnderAnUnexpiredLeaseInServingPhase)
{
    const BootInstant provenAt(100s);
    PrimaryLease lease{{"g", 1, GroupPhase::Serving, "i-1", 0, 1, false, ""}, provenAt};
    BOOST_TEST(mayUsePrimary(lease, provenAt));
    BOOST_TEST(mayUsePrimary(lease, provenAt + PrimaryLeaseDuration - 1ms));
    BOOST_TEST(!mayUsePrimary(lease, provenAt + PrimaryLeaseDuration));
    lease.record.phase = GroupPhase::Changing;
    BOOST_TEST(!mayUsePrimary(lease, provenAt));
}
