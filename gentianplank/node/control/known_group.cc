#include "gentianplank/node/control/known_group.h"

#include <algorithm>

namespace gentianplank {

namespace {

// A promotion that was sent before the return is answered or reset within 0.9 s, and takes effect
// within another second.
constexpr Duration PromotionSettleTime = std::chrono::milliseconds(2000);

} // namespace

void applyGroupRow(KnownGroup &group, const std::optional<GroupRecord> &stored,
                   const StoreVersion &version)
{
    group.version = stored ? version : StoreVersion{};
    if (!stored) {
        group.isConfirmed = false;
        return;
    }
    if (!isCarriedOver(stored->era, version)) {
        group.record = *stored;
        group.isConfirmed = true;
        return;
    }
    group.isConfirmed = false;
    if (stored->epoch > group.record.epoch) {
        group.record = *stored;
        group.provenUntil = {};
    }
}

void beginEra(KnownGroup &group, uint64_t era, BootInstant provenAt)
{
    if (!isAbsent(group.version)) {
        group.version.era = era;
    }
    if (group.isConfirmed) {
        group.provenUntil = provenAt;
        group.isConfirmed = false;
    }
}

// A change announces itself to every VM before its promotion, and waits for the leases of those
// that don't answer. A VM whose lease was valid at the return therefore knows of every change that
// had got as far as the promotion.
Confirmation confirmationOf(const KnownGroup &group, BootInstant eraSeenAt, BootInstant now)
{
    if (group.announcedEpoch > group.record.epoch) {
        return Confirmation::Change;
    }
    const bool wasLeaseValid = eraSeenAt - group.provenUntil < PrimaryLeaseDuration;
    const bool isSettled = now - eraSeenAt >= PromotionSettleTime;
    return wasLeaseValid || isSettled ? Confirmation::Check : Confirmation::CheckLater;
}

GroupRecord nextRecord(const GroupRecord &record, uint64_t era, const std::string &writer)
{
    GroupRecord next = record;
    next.epoch = nextOrderedNumber(record.epoch, era);
    next.era = era;
    next.writer = writer;
    return next;
}

GroupRecord confirmedRecord(const GroupRecord &record, uint64_t era, const std::string &writer)
{
    GroupRecord confirmed = nextRecord(record, era, writer);
    confirmed.promoted.reset();
    return confirmed;
}

RecordVerdict checkRecord(const GroupRecord &record, std::span<const MemberAnswer> answers)
{
    uint64_t newestTerm = record.term;
    for (const MemberAnswer &it : answers) {
        newestTerm = std::max({newestTerm, it.status.term, it.status.position.term});
    }
    const auto primary = std::find_if(answers.begin(), answers.end(), [&](const MemberAnswer &it) {
        return it.member == record.primary;
    });
    if (primary != answers.end()) {
        const bool leads = primary->status.isPrimary && primary->status.term == newestTerm;
        return leads ? RecordVerdict::Confirmed : RecordVerdict::Refuted;
    }
    const bool knowsLaterTerm = record.term != 0 && newestTerm > record.term;
    return knowsLaterTerm ? RecordVerdict::Refuted : RecordVerdict::Unknown;
}

const char *toString(RecordVerdict verdict)
{
    switch (verdict) {
    case RecordVerdict::Confirmed:
        return "confirmed";
    case RecordVerdict::Refuted:
        return "refuted";
    case RecordVerdict::Unknown:
        return "unknown";
    }
    return "";
}

} // namespace gentianplank
