#include "gentianplank/node/control/known_group.h"

#include <algorithm>

namespace gentianplank {

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

void beginEra(KnownGroup &group, BootInstant provenAt)
{
    if (group.isConfirmed) {
        group.provenUntil = provenAt;
        group.isConfirmed = false;
    }
}

GroupRecord nextRecord(const GroupRecord &record, uint64_t era, const std::string &writer)
{
    GroupRecord next = record;
    next.epoch = nextOrderedNumber(record.epoch, era);
    next.era = era;
    next.writer = writer;
    return next;
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
