#include "gentianplank/node/control/known_group.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

GroupRecord record(uint64_t epoch, const std::string &primary, std::optional<uint64_t> era)
{
    GroupRecord result;
    result.group = "g";
    result.epoch = epoch;
    result.primary = primary;
    result.term = 3;
    result.era = era;
    return result;
}

MemberAnswer answer(const std::string &member, bool isPrimary, uint64_t term)
{
    return {member, {.isPrimary = isPrimary, .term = term, .position = {term, 10}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(recordOfCurrentEraIsConfirmed)
{
    KnownGroup group;
    applyGroupRow(group, record(7, "a", 1), {1, 20});
    BOOST_TEST(group.isConfirmed);
    BOOST_TEST(group.record.primary == "a");
    BOOST_TEST(group.version == StoreVersion(1, 20));
    applyGroupRow(group, record(8, "b", std::nullopt), {1, 22});
    BOOST_TEST(group.isConfirmed);
    BOOST_TEST(group.record.primary == "b");
}

// Guards against a replaced primary that is used again, since the copy names it and reading the
// copy looked like a proof.
BOOST_AUTO_TEST_CASE(recordFromCopyReplacesNothingAndProvesNothing)
{
    const BootInstant provenAt = bootNow();
    KnownGroup group;
    applyGroupRow(group, record(7, "b", 1), {1, 20});
    beginEra(group, 2, provenAt);
    applyGroupRow(group, record(3, "a", 1), {2, 9});
    BOOST_TEST(!group.isConfirmed);
    BOOST_TEST(group.record.primary == "b");
    BOOST_TEST((group.provenUntil == provenAt));
    // The next write is conditional on the row that is stored now.
    BOOST_TEST(group.version == StoreVersion(2, 9));
    // A second return doesn't extend the proof.
    beginEra(group, 3, provenAt + 9s);
    BOOST_TEST((group.provenUntil == provenAt));
}

BOOST_AUTO_TEST_CASE(unchangedRowKeepsItsNumberInNewEra)
{
    KnownGroup group;
    applyGroupRow(group, record(7, "b", 1), {1, 20});
    beginEra(group, 2, bootNow());
    BOOST_TEST(group.version == StoreVersion(2, 20));
    BOOST_TEST(!group.isConfirmed);
}

BOOST_AUTO_TEST_CASE(lostRecordStaysKnownUntilItIsStoredAgain)
{
    KnownGroup group;
    applyGroupRow(group, record(7, "b", 1), {1, 20});
    beginEra(group, 2, bootNow());
    applyGroupRow(group, std::nullopt, {2, 9});
    BOOST_TEST(!group.isConfirmed);
    BOOST_TEST(group.record.primary == "b");
    BOOST_TEST(isAbsent(group.version));
    const GroupRecord next = nextRecord(group.record, 2, "vm-1");
    BOOST_TEST(next.epoch > 7U);
    applyGroupRow(group, next, {2, 10});
    BOOST_TEST(group.isConfirmed);
    BOOST_TEST(group.record.writer == "vm-1");
}

// A process that starts after the return knows only the copy.
BOOST_AUTO_TEST_CASE(recordKnownOnlyFromCopyMayNotBeUsed)
{
    KnownGroup group;
    applyGroupRow(group, record(3, "a", 1), {2, 9});
    BOOST_TEST(!group.isConfirmed);
    BOOST_TEST(group.record.primary == "a");
    BOOST_TEST((group.provenUntil == BootInstant{}));
}

// A VM that slept until after the return may know less than the copy.
BOOST_AUTO_TEST_CASE(newerRecordFromCopyIsKnownWithoutProof)
{
    KnownGroup group;
    applyGroupRow(group, record(2, "a", 1), {1, 5});
    beginEra(group, 2, bootNow());
    applyGroupRow(group, record(6, "b", 1), {2, 9});
    BOOST_TEST(group.record.primary == "b");
    BOOST_TEST(!group.isConfirmed);
    BOOST_TEST((group.provenUntil == BootInstant{}));
}

// Guards against a write that was sent before the return and takes effect after it.
BOOST_AUTO_TEST_CASE(delayedWriteOfEarlierEraDoesNotReplaceConfirmedRecord)
{
    KnownGroup group;
    applyGroupRow(group, nextRecord(record(7, "b", 1), 2, "vm-1"), {2, 9});
    applyGroupRow(group, record(8, "c", 1), {2, 11});
    BOOST_TEST(group.record.primary == "b");
    BOOST_TEST(!group.isConfirmed);
    BOOST_TEST(group.version == StoreVersion(2, 11));
}

// Guards against confirming a primary while its replacement, promoted before the return, is about
// to take over: the members don't know of it yet, and the record of the change is lost.
BOOST_AUTO_TEST_CASE(recordIsCheckedLaterIfItMayMissAPromotion)
{
    const BootInstant eraSeenAt = bootNow();
    KnownGroup known;
    applyGroupRow(known, record(7, "b", 1), {1, 20});
    beginEra(known, 2, eraSeenAt - 2900ms);
    BOOST_TEST((confirmationOf(known, eraSeenAt, eraSeenAt) == Confirmation::Check));
    KnownGroup hasSlept;
    applyGroupRow(hasSlept, record(7, "b", 1), {1, 20});
    beginEra(hasSlept, 2, eraSeenAt - 3100ms);
    KnownGroup isNew;
    applyGroupRow(isNew, record(7, "b", 1), {2, 20});
    for (const KnownGroup &it : {hasSlept, isNew}) {
        BOOST_TEST((confirmationOf(it, eraSeenAt, eraSeenAt + 1900ms) == Confirmation::CheckLater));
        BOOST_TEST((confirmationOf(it, eraSeenAt, eraSeenAt + 2100ms) == Confirmation::Check));
    }
}

// The VM had released the primary, but not read the record of the change, when the store was lost.
BOOST_AUTO_TEST_CASE(announcedChangeIsRepeated)
{
    const BootInstant eraSeenAt = bootNow();
    KnownGroup group;
    applyGroupRow(group, record(7, "b", 1), {1, 20});
    group.announcedEpoch = 8;
    beginEra(group, 2, eraSeenAt - 1s);
    BOOST_TEST((confirmationOf(group, eraSeenAt, eraSeenAt) == Confirmation::Change));
    group.announcedEpoch = 7;
    BOOST_TEST((confirmationOf(group, eraSeenAt, eraSeenAt) == Confirmation::Check));
}

BOOST_AUTO_TEST_CASE(primaryIsConfirmedOnlyIfNoMemberKnowsLaterTerm)
{
    const GroupRecord serving = record(7, "b", 1);
    const std::vector<MemberAnswer> good{answer("a", false, 3), answer("b", true, 3)};
    BOOST_TEST((checkRecord(serving, good) == RecordVerdict::Confirmed));
    const std::vector<MemberAnswer> isReplaced{answer("a", true, 4), answer("b", true, 3)};
    BOOST_TEST((checkRecord(serving, isReplaced) == RecordVerdict::Refuted));
    const std::vector<MemberAnswer> isDemoted{answer("a", false, 4), answer("b", false, 4)};
    BOOST_TEST((checkRecord(serving, isDemoted) == RecordVerdict::Refuted));
    const std::vector<MemberAnswer> isBehindRecord{answer("b", true, 2)};
    BOOST_TEST((checkRecord(serving, isBehindRecord) == RecordVerdict::Refuted));
}

// Guards against a needless change of primary because the primary was too busy to answer.
BOOST_AUTO_TEST_CASE(silentPrimaryIsNotRefutedWithoutLaterTerm)
{
    const GroupRecord serving = record(7, "b", 1);
    const std::vector<MemberAnswer> isSilent{answer("a", false, 3)};
    BOOST_TEST((checkRecord(serving, isSilent) == RecordVerdict::Unknown));
    BOOST_TEST((checkRecord(serving, {}) == RecordVerdict::Unknown));
    const std::vector<MemberAnswer> isReplaced{answer("a", false, 4)};
    BOOST_TEST((checkRecord(serving, isReplaced) == RecordVerdict::Refuted));
    GroupRecord isOfUnknownTerm = serving;
    isOfUnknownTerm.term = 0;
    BOOST_TEST((checkRecord(isOfUnknownTerm, isSilent) == RecordVerdict::Unknown));
}

// Guards against a member that is taken for the newest primary, while one leads whose promotion was
// listed in a row that the copy of the store lacks.
BOOST_AUTO_TEST_CASE(changingRecordOfEarlierEraListsNoPromotions)
{
    GroupRecord changing = record(5, "a", 1);
    changing.phase = GroupPhase::Changing;
    changing.promoted = std::vector<std::string>{"b"};
    const GroupRecord confirmed = confirmedRecord(changing, 2, "vm-1");
    BOOST_TEST(!confirmed.promoted);
    BOOST_TEST((confirmed.phase == GroupPhase::Changing));
    BOOST_TEST((confirmed.era == 2U));
    BOOST_TEST((nextRecord(changing, 1, "vm-1").promoted == changing.promoted));
}
