#include "gentianplank/target/member_health.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace gentianplank {

namespace {

using std::chrono::milliseconds;

constexpr double MicrosecondsPerMillisecond = 1000;
// Outcomes weigh half after this time, so that a member's past counts for a few seconds.
constexpr Duration HalfLife = std::chrono::seconds(2);
// Limits the weight of the past of a busy member, so that it comes back as fast as an idle one.
constexpr double MaxStatements = 32;
// An organisation weighs at most as much as this many statements, and as all others together.
constexpr double MaxBucketWeight = 4;
constexpr double RefusalWeight = 0.5;
// A lost statement holds a slot for many times the usual time, so there are fewer of them.
constexpr double LostCount = 2;
// With one error in ten statements, a run of this length is one of a million.
constexpr uint32_t MinRun = 6;
constexpr double MeanGain = 0.1;

// A member is suspect from this share of failures on, among at least this many statements, if
// another member's share is lower by the margin. Callers' own errors stay far below.
constexpr double SuspectShare = 0.6;
constexpr double MinSuspectStatements = 4;
constexpr double MinComparedStatements = 0.5;
constexpr double ComparisonMargin = 0.4;
// From this many statements on, a failed read may be tried again elsewhere, which also tells
// whether the statement or the member is at fault.
constexpr double MinDoubtfulStatements = 2;
// The same for the last reads in a row, whatever came before.
constexpr uint32_t MinDoubtfulRun = 2;
// A member is slow when it takes several times as long as another one, plus a time that a queue at
// the member explains.
constexpr double SlowFactor = 5;
constexpr double SlowMarginMs = 100;

// A suspect without evidence for this long is tried again.
constexpr Duration MaxSilence = std::chrono::seconds(8);
constexpr Duration MinSuspectTime = std::chrono::seconds(1);
constexpr uint32_t GoodProbesToReturn = 3;
constexpr double ReturnShare = 0.2;
constexpr uint32_t FailuresToSuspectAgain = 2;
// A returning member gets 10, 25 and 50 % of its statements, each for this long.
constexpr Duration ReturnStep = std::chrono::seconds(1);
constexpr std::array<size_t, 3> ReturnPercents{10, 25, 50};
constexpr size_t AllPercent = 100;

constexpr Duration ProbeIntervalPerVm = milliseconds(50);
constexpr Duration MinProbeInterval = milliseconds(250);
constexpr Duration MaxProbeInterval = milliseconds(3000);

size_t bucketOf(const OutcomeTally &tally, std::string_view organisation)
{
    return std::hash<std::string_view>()(organisation) % tally.buckets.size();
}

bool fails(const OutcomeTally::Bucket &bucket)
{
    return bucket.failures > 0 && bucket.failures >= SuspectShare * bucket.statements;
}

double decayOver(Duration age)
{
    return age <= Duration::zero() ? 1
                                   : std::exp2(-static_cast<double>(age.count()) /
                                               static_cast<double>(HalfLife.count()));
}

Evidence decayed(const Evidence &evidence, Duration age)
{
    const double factor = decayOver(age);
    return {evidence.statements * factor, evidence.failures * factor, evidence.meanMs};
}

double weightOf(OutcomeSign sign)
{
    switch (sign) {
    case OutcomeSign::Neutral:
    case OutcomeSign::Well:
        return 0;
    case OutcomeSign::Refused:
        return RefusalWeight;
    case OutcomeSign::Failed:
    case OutcomeSign::Lost:
        break;
    }
    return 1;
}

void decay(OutcomeTally &tally, Instant now)
{
    const double factor = decayOver(now - tally.updatedAt);
    tally.updatedAt = now;
    for (OutcomeTally::Bucket &it : tally.buckets) {
        it.statements *= factor;
        it.failures *= factor;
    }
}

// After a run of failures of several organisations, earlier good outcomes no longer count: a member
// that begins to fail everything is noticed within some statements.
void forgetPastAfterRun(OutcomeTally &tally, size_t bucket, bool hasFailed)
{
    if (!hasFailed) {
        tally.failuresInRow = 0;
        tally.bucketsInRow.reset();
        return;
    }
    ++tally.failuresInRow;
    tally.bucketsInRow.set(bucket);
    if (tally.failuresInRow < MinRun || tally.bucketsInRow.count() < 2) {
        return;
    }
    for (OutcomeTally::Bucket &it : tally.buckets) {
        it.statements = it.failures;
    }
}

// The dispatcher's report covers all VMs and includes this VM's statements; what has more
// statements is used.
Evidence readEvidence(const MemberHealth &member, Instant now)
{
    const Evidence own = evidenceOf(member.reads, now);
    const Evidence reported = decayed(member.reported, now - member.reportedAt);
    return reported.statements > own.statements ? reported : own;
}

bool isSlow(const Evidence &evidence, const Evidence &other)
{
    return evidence.statements >= MinSuspectStatements && other.meanMs > 0 &&
           evidence.meanMs > SlowFactor * other.meanMs + SlowMarginMs;
}

bool isFailing(const Evidence &evidence)
{
    return evidence.statements >= MinSuspectStatements && failureShare(evidence) >= SuspectShare;
}

bool isMuchWorse(const Evidence &evidence, const Evidence &other)
{
    if (other.statements < MinComparedStatements) {
        return false;
    }
    const bool failsMore =
        isFailing(evidence) && failureShare(evidence) - failureShare(other) >= ComparisonMargin;
    return failsMore || isSlow(evidence, other);
}

// Whether another member that is not suspect satisfies the condition.
template <typename Condition>
bool hasOther(const GroupHealth &health, const MemberHealth &member, Condition condition)
{
    return std::any_of(health.members.begin(), health.members.end(), [&](const auto &it) {
        return &it.second != &member && it.second.state != HealthState::Suspect &&
               condition(it.second);
    });
}

HealthState stateAfterSuspicion(const GroupHealth &health, const MemberHealth &member, Instant now)
{
    const bool allFail = !hasOther(health, member, [now](const MemberHealth &other) {
        return !isFailing(readEvidence(other, now));
    });
    if (allFail) {
        return HealthState::Healthy;
    }
    const Duration time = now - member.since;
    const bool isSilent = now - std::max(member.since, member.lastProbeAt) > MaxSilence;
    const bool isWell =
        member.goodProbes >= GoodProbesToReturn ||
        (member.goodProbes > 0 && failureShare(readEvidence(member, now)) <= ReturnShare);
    return isSilent || (isWell && time >= MinSuspectTime) ? HealthState::Returning
                                                          : HealthState::Suspect;
}

HealthState nextState(const GroupHealth &health, const MemberHealth &member, Instant now)
{
    if (member.state == HealthState::Suspect) {
        return stateAfterSuspicion(health, member, now);
    }
    const bool isReturning = member.state == HealthState::Returning;
    if (isReturning && member.failuresSinceReturn < FailuresToSuspectAgain) {
        const bool isBack = now - member.since >= ReturnStep * ReturnPercents.size();
        return isBack ? HealthState::Healthy : HealthState::Returning;
    }
    const Evidence evidence = readEvidence(member, now);
    const bool isWorse = (isFailing(evidence) || evidence.meanMs > SlowMarginMs) &&
                         hasOther(health, member, [&](const MemberHealth &other) {
                             return isMuchWorse(evidence, readEvidence(other, now));
                         });
    return isWorse ? HealthState::Suspect : member.state;
}

size_t percentOf(const MemberHealth &member, Instant now)
{
    const auto step =
        static_cast<size_t>(std::max<Duration::rep>(0, (now - member.since) / ReturnStep));
    return step < ReturnPercents.size() ? ReturnPercents.at(step) : AllPercent;
}

// After a return or a recovery, only new outcomes count.
void enterState(MemberHealth &member, HealthState state, Instant now)
{
    if (state != HealthState::Suspect) {
        member.reads = {};
        member.reported = {};
    }
    member.state = state;
    member.since = now;
    member.lastProbeAt = now;
    member.goodProbes = 0;
    member.failuresSinceReturn = 0;
}

} // namespace

double failureShare(const Evidence &evidence)
{
    return evidence.statements > 0 ? evidence.failures / evidence.statements : 0;
}

void recordOutcome(OutcomeTally &tally, std::string_view organisation, OutcomeSign sign,
                   Duration timeAtMember, Instant now)
{
    if (sign == OutcomeSign::Neutral) {
        return;
    }
    decay(tally, now);
    const size_t index = bucketOf(tally, organisation);
    OutcomeTally::Bucket &bucket = tally.buckets.at(index);
    const double count = sign == OutcomeSign::Lost ? LostCount : 1;
    bucket.statements += count;
    bucket.failures += count * weightOf(sign);
    if (bucket.statements > MaxStatements) {
        bucket.failures *= MaxStatements / bucket.statements;
        bucket.statements = MaxStatements;
    }
    forgetPastAfterRun(tally, index, weightOf(sign) == 1);
    if (sign == OutcomeSign::Well && timeAtMember > Duration::zero()) {
        const double ms = static_cast<double>(timeAtMember.count()) / MicrosecondsPerMillisecond;
        tally.meanMs = tally.meanMs == 0 ? ms : tally.meanMs + MeanGain * (ms - tally.meanMs);
    }
}

Evidence evidenceOf(const OutcomeTally &tally, Instant now)
{
    const double factor = decayOver(now - tally.updatedAt);
    double statements = 0;
    double weight = 0;
    double largest = 0;
    for (const OutcomeTally::Bucket &it : tally.buckets) {
        const double bucketWeight = std::min(it.statements * factor, MaxBucketWeight);
        statements += it.statements * factor;
        weight += bucketWeight;
        largest = std::max(largest, bucketWeight);
    }
    if (weight <= 0) {
        return {};
    }
    const double others = weight - largest;
    const double maxWeight = others > 0 ? std::min(MaxBucketWeight, others) : MaxBucketWeight;
    weight = 0;
    double weightedShares = 0;
    for (const OutcomeTally::Bucket &it : tally.buckets) {
        if (it.statements > 0) {
            const double bucketWeight = std::min(it.statements * factor, maxWeight);
            weight += bucketWeight;
            weightedShares += bucketWeight * it.failures / it.statements;
        }
    }
    statements = std::min(statements, MaxStatements);
    return {statements, statements * weightedShares / weight, tally.meanMs};
}

uint32_t failingOrganisations(const OutcomeTally &tally, Instant now)
{
    const double factor = decayOver(now - tally.updatedAt);
    return static_cast<uint32_t>(
        std::count_if(tally.buckets.begin(), tally.buckets.end(), [factor](const auto &it) {
            return it.failures * factor >= SuspectShare && fails(it);
        }));
}

std::string_view toString(HealthState state)
{
    switch (state) {
    case HealthState::Healthy:
        return "healthy";
    case HealthState::Suspect:
        return "suspect";
    case HealthState::Returning:
        return "returning";
    }
    return "";
}

void recordOutcome(GroupHealth &health, std::string_view member, const ObservedOutcome &outcome,
                   Instant now)
{
    auto it = health.members.find(member);
    if (it == health.members.end()) {
        it = health.members.emplace(member, MemberHealth{}).first;
    }
    MemberHealth &known = it->second;
    const bool isReportUsed =
        outcome.report.statements > 0 &&
        outcome.report.statements >= decayed(known.reported, now - known.reportedAt).statements / 2;
    if (isReportUsed) {
        known.reported = outcome.report;
        known.reportedAt = now;
    }
    recordOutcome(known.all, outcome.organisation, outcome.sign, outcome.timeAtMember, now);
    if (!outcome.isRead || outcome.sign == OutcomeSign::Neutral) {
        return;
    }
    recordOutcome(known.reads, outcome.organisation, outcome.sign, outcome.timeAtMember, now);
    const bool isWell = outcome.sign == OutcomeSign::Well;
    known.goodProbes = isWell ? known.goodProbes + 1 : 0;
    known.failuresSinceReturn += isWell ? 0 : 1;
}

void setMemberStart(GroupHealth &health, std::string_view member, int64_t startedAtMs)
{
    const auto it = health.members.find(member);
    if (it == health.members.end() || it->second.startedAtMs == startedAtMs) {
        return;
    }
    if (it->second.startedAtMs != 0) {
        it->second = {};
    }
    it->second.startedAtMs = startedAtMs;
}

std::vector<HealthChange> updateHealth(GroupHealth &health, Instant now)
{
    std::vector<HealthChange> changes;
    for (auto &[id, member] : health.members) {
        const HealthState state = nextState(health, member, now);
        if (state == member.state) {
            continue;
        }
        changes.push_back(
            {id, state, readEvidence(member, now), now - member.reportedAt, now - member.since});
        enterState(member, state, now);
    }
    return changes;
}

bool isDoubtful(const GroupHealth &health, std::string_view member, Instant now)
{
    const auto it = health.members.find(member);
    if (it == health.members.end()) {
        return false;
    }
    const Evidence evidence = readEvidence(it->second, now);
    return it->second.state != HealthState::Healthy ||
           (evidence.statements >= MinDoubtfulStatements && failureShare(evidence) >= SuspectShare);
}

bool mayBeAtFault(const GroupHealth &health, std::string_view member, std::string_view organisation,
                  Instant now)
{
    if (isDoubtful(health, member, now)) {
        return true;
    }
    const auto hasRun = [](const MemberHealth &it) {
        return it.reads.failuresInRow >= MinDoubtfulRun;
    };
    const auto it = health.members.find(member);
    if (it == health.members.end() || !hasRun(it->second)) {
        return false;
    }
    return std::none_of(health.members.begin(), health.members.end(), [&](const auto &other) {
        const OutcomeTally &reads = other.second.reads;
        return !hasRun(other.second) && fails(reads.buckets.at(bucketOf(reads, organisation)));
    });
}

std::vector<std::string> withheldMembers(const GroupHealth &health, size_t requestHash,
                                         bool mayProbe, Instant now)
{
    std::vector<std::string> withheld;
    for (const auto &[id, member] : health.members) {
        const bool isProbeDue = mayProbe && now - member.lastProbeAt >= health.probeInterval;
        const bool isWithheld = (member.state == HealthState::Suspect && !isProbeDue) ||
                                (member.state == HealthState::Returning &&
                                 requestHash % AllPercent >= percentOf(member, now));
        if (isWithheld) {
            withheld.push_back(id);
        }
    }
    return withheld;
}

void recordSent(GroupHealth &health, std::string_view member, Instant now)
{
    const auto it = health.members.find(member);
    if (it != health.members.end() && it->second.state == HealthState::Suspect) {
        it->second.lastProbeAt = now;
    }
}

Duration probeIntervalFor(size_t vms)
{
    return std::clamp<Duration>(ProbeIntervalPerVm * vms, MinProbeInterval, MaxProbeInterval);
}

} // namespace gentianplank
