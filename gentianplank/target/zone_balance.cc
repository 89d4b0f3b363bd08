#include "gentianplank/target/zone_balance.h"

#include <algorithm>
#include <cmath>

namespace gentianplank {

namespace {

// Assumed round trips while none is measured, and what leaving the zone or the region costs besides
// its time. The sums are the constants of member_choice.
constexpr std::array<Duration, DistanceCount> AssumedPathTimes = {
    std::chrono::milliseconds(1), std::chrono::milliseconds(2), std::chrono::milliseconds(40)};
constexpr std::array<Duration, DistanceCount> DistanceSurcharges = {
    Duration::zero(), std::chrono::milliseconds(4), std::chrono::milliseconds(110)};
// As in member_choice: keeps the primary free for statements that only it can serve.
constexpr Duration PrimarySurcharge = std::chrono::milliseconds(15);
// Typical execution time of a statement.
constexpr Duration StatementTime = std::chrono::milliseconds(12);
// A share moves only for a gain above these margins. Together they are the hysteresis. With 2 ms
// for the way back, reads return before the queue that they left is gone: the 99th percentile in
// waves of load rose from 107 to 129 ms (docs/design/zones.md).
constexpr Duration OutwardsMargin = std::chrono::milliseconds(3);
constexpr Duration BackMargin = std::chrono::milliseconds(4);
// A gain of this much moves the largest share that is allowed.
constexpr Duration FullGain = std::chrono::milliseconds(10);
// A path time falls by a quarter of the difference and rises by a 32nd, so that it follows the
// fastest statements, whose time contains the least waiting.
constexpr int FallDivisor = 4;
constexpr int RiseDivisor = 32;
// Shares below this are noise of the arithmetic.
constexpr double MinShare = 1e-6;
// An expected time may be wrong by as much again, so a read is urgent when it takes half of the
// time that is left.
constexpr int ObjectiveDivisor = 2;
// Reads count as urgent for this time after the last one.
constexpr Duration UrgencyPeriod = std::chrono::milliseconds(500);

size_t indexOf(Distance distance)
{
    return static_cast<size_t>(distance);
}

size_t classIndex(const ZoneMember &member)
{
    return static_cast<size_t>(memberClassOf(member.distance, member.isPrimary));
}

bool hasRecentReport(std::span<const ZoneMember> members)
{
    return std::any_of(members.begin(), members.end(),
                       [](const ZoneMember &it) { return it.reportAge < MaxReportAge; });
}

// Expected time of a class's best member by class; Duration::max() for classes without members.
using ClassTimes = std::array<Duration, MemberClassCount>;

ClassTimes classTimes(std::span<const ZoneMember> members)
{
    ClassTimes times;
    times.fill(Duration::max());
    for (const ZoneMember &it : members) {
        Duration &time = times[classIndex(it)];
        time = std::min(time, expectedTime(it));
    }
    return times;
}

Duration surchargeOf(size_t memberClass, bool isUrgent)
{
    const Distance distance = distanceOf(static_cast<MemberClass>(memberClass));
    const bool isFree = isUrgent && distance == Distance::OtherRegion;
    return isFree ? Duration::zero() : DistanceSurcharges[indexOf(distance)];
}

ClassShares effectiveShares(const ClassShares &shares, const ClassTimes &times)
{
    ClassShares result{};
    double sum = 0;
    for (size_t i = 0; i < MemberClassCount; ++i) {
        if (times[i] != Duration::max()) {
            result[i] = shares[i];
            sum += shares[i];
        }
    }
    const auto home =
        std::find_if(times.begin(), times.end(), [](Duration it) { return it != Duration::max(); });
    if (home != times.end()) {
        result[static_cast<size_t>(home - times.begin())] += std::max(0.0, 1 - sum);
    }
    return result;
}

// A move of share between two classes.
struct ShareMove
{
    size_t from = 0;
    size_t to = 0;
    Duration gain{0};
};

// Returns the move from the most expensive class in use to the cheapest class.
std::optional<ShareMove> bestMove(const ClassShares &shares, const ClassTimes &times, bool isUrgent,
                                  bool isLinkExhausted)
{
    std::optional<size_t> from;
    std::optional<size_t> to;
    ClassTimes costs = times;
    for (size_t i = 0; i < MemberClassCount; ++i) {
        if (times[i] == Duration::max()) {
            continue;
        }
        costs[i] += surchargeOf(i, isUrgent);
        const bool isClosed =
            isLinkExhausted && distanceOf(static_cast<MemberClass>(i)) == Distance::OtherRegion;
        if (!isClosed && (!to || costs[i] < costs[*to])) {
            to = i;
        }
        // An exhausted link empties its classes first, whatever they cost.
        if (isClosed) {
            costs[i] += std::chrono::hours(1);
        }
        if (shares[i] > MinShare && (!from || costs[i] > costs[*from])) {
            from = i;
        }
    }
    if (!from || !to || *from == *to) {
        return std::nullopt;
    }
    return ShareMove{*from, *to, costs[*from] - costs[*to]};
}

bool moveShare(ClassShares &shares, const ClassTimes &times, bool isUrgent, bool isLinkExhausted,
               double intervals)
{
    ClassShares current = effectiveShares(shares, times);
    const auto move = bestMove(current, times, isUrgent, isLinkExhausted);
    const bool isOutwards = move && move->to > move->from;
    const Duration margin = isOutwards ? OutwardsMargin : BackMargin;
    if (!move || move->gain <= margin) {
        return false;
    }
    const double strength = std::min(1.0, static_cast<double>((move->gain - margin).count()) /
                                              static_cast<double>(FullGain.count()));
    // One observation moves one step outwards, however long ago the last one was. Reads may return
    // for the whole time. Steps in proportion to the gain keep the shares from overshooting.
    const double limit = (isOutwards ? MaxShareOutwards : MaxShareBack * intervals) * strength;
    const double moved = std::min(current[move->from], limit);
    current[move->from] -= moved;
    current[move->to] += moved;
    shares = current;
    return true;
}

// SplitMix64: consecutive calls give independent numbers.
double nextUniform(uint64_t &state)
{
    state += 0x9e3779b97f4a7c15ULL;
    uint64_t z = state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    z ^= z >> 31U;
    return static_cast<double>(z >> 11U) * 0x1.0p-53;
}

Duration billedTime(const ZoneMember &member, bool isUrgent)
{
    return expectedTime(member) + surchargeOf(classIndex(member), isUrgent);
}

// Returns the member at which a uniform number points, by weight: the share of its class, divided
// among its members by slots per expected time.
size_t pickByWeight(std::span<const ZoneMember> members, const ClassShares &shares, double uniform)
{
    const auto weightOf = [](const ZoneMember &it) {
        return static_cast<double>(std::max(1U, it.slots)) /
               static_cast<double>((expectedTime(it) + StatementTime).count());
    };
    ClassShares sums{};
    for (const ZoneMember &it : members) {
        sums[classIndex(it)] += weightOf(it);
    }
    double rest = uniform;
    size_t last = 0;
    for (size_t i = 0; i < members.size(); ++i) {
        const size_t memberClass = classIndex(members[i]);
        if (shares[memberClass] <= 0) {
            continue;
        }
        last = i;
        rest -= shares[memberClass] * weightOf(members[i]) / sums[memberClass];
        if (rest < 0) {
            break;
        }
    }
    return last;
}

// Returns the better one of two members that are drawn by weight.
size_t pickOfTwo(std::span<const ZoneMember> members, const ClassShares &shares, bool isUrgent,
                 uint64_t seed)
{
    uint64_t random = seed;
    const size_t a = pickByWeight(members, shares, nextUniform(random));
    const size_t b = pickByWeight(members, shares, nextUniform(random));
    return billedTime(members[b], isUrgent) < billedTime(members[a], isUrgent) ? b : a;
}

// Leaves out the classes in another region unless no other member can answer before the deadline.
bool closeOtherRegions(ClassTimes &times, Duration toDeadline)
{
    bool isServedInRegion = false;
    bool hasOther = false;
    for (size_t i = 0; i < MemberClassCount; ++i) {
        const bool isOther = distanceOf(static_cast<MemberClass>(i)) == Distance::OtherRegion;
        hasOther = hasOther || (isOther && times[i] != Duration::max());
        isServedInRegion =
            isServedInRegion || (!isOther && times[i] != Duration::max() && times[i] < toDeadline);
    }
    if (!hasOther || !isServedInRegion) {
        return false;
    }
    times[static_cast<size_t>(MemberClass::OtherRegionReplica)] = Duration::max();
    times[static_cast<size_t>(MemberClass::OtherRegionPrimary)] = Duration::max();
    return true;
}

} // namespace

std::optional<ZonePolicy> parseZonePolicy(std::string_view name)
{
    if (name == "fixed") {
        return ZonePolicy::Fixed;
    }
    return name == "adaptive" ? std::optional(ZonePolicy::Adaptive) : std::nullopt;
}

void recordPathTime(PathTimes &paths, Distance distance, Duration sample)
{
    auto &known = paths.measured[indexOf(distance)];
    if (!known) {
        known = sample;
        return;
    }
    *known += (sample - *known) / (sample < *known ? FallDivisor : RiseDivisor);
}

Duration pathTime(const PathTimes &paths, Distance distance)
{
    return paths.measured[indexOf(distance)].value_or(AssumedPathTimes[indexOf(distance)]);
}

MemberClass memberClassOf(Distance distance, bool isPrimary)
{
    switch (distance) {
    case Distance::SameZone:
        return isPrimary ? MemberClass::ZonePrimary : MemberClass::ZoneReplica;
    case Distance::SameRegion:
        return isPrimary ? MemberClass::RegionPrimary : MemberClass::RegionReplica;
    case Distance::OtherRegion:
        break;
    }
    return isPrimary ? MemberClass::OtherRegionPrimary : MemberClass::OtherRegionReplica;
}

Distance distanceOf(MemberClass memberClass)
{
    switch (memberClass) {
    case MemberClass::ZoneReplica:
    case MemberClass::ZonePrimary:
        return Distance::SameZone;
    case MemberClass::RegionReplica:
    case MemberClass::RegionPrimary:
        return Distance::SameRegion;
    case MemberClass::OtherRegionReplica:
    case MemberClass::OtherRegionPrimary:
        break;
    }
    return Distance::OtherRegion;
}

std::string_view toString(MemberClass memberClass)
{
    constexpr std::array<std::string_view, MemberClassCount> names = {
        "zone_replica",   "region_replica",       "zone_primary",
        "region_primary", "other_region_replica", "other_region_primary"};
    return names[static_cast<size_t>(memberClass)];
}

Duration discountedWait(const ZoneMember &member)
{
    if (member.reportAge >= MaxReportAge) {
        return Duration::zero();
    }
    return member.reportAge > FullWeightReportAge ? member.reportedWait / 2 : member.reportedWait;
}

Duration expectedTime(const ZoneMember &member)
{
    return member.path + discountedWait(member) +
           StatementTime * member.inFlight / std::max(1U, member.slots) +
           (member.isPrimary ? PrimarySurcharge : Duration::zero());
}

ClassShares effectiveShares(const ClassShares &shares, std::span<const ZoneMember> members)
{
    return effectiveShares(shares, classTimes(members));
}

ZoneChoice chooseMember(const ZoneBalance &balance, std::span<const ZoneMember> members,
                        const ZoneRequest &request)
{
    ZoneChoice choice;
    if (members.empty()) {
        return choice;
    }
    ClassTimes times = classTimes(members);
    choice.isKeptInRegion = request.isLinkExhausted && closeOtherRegions(times, request.toDeadline);
    if (!hasRecentReport(members) && !choice.isKeptInRegion) {
        return choice;
    }
    const size_t usual =
        pickOfTwo(members, effectiveShares(balance.shares, times), false, request.seed);
    choice.isUrgent =
        expectedTime(members[usual]) + StatementTime > request.toObjective / ObjectiveDivisor;
    choice.member =
        choice.isUrgent
            ? pickOfTwo(members, effectiveShares(balance.urgentShares, times), true, request.seed)
            : usual;
    return choice;
}

bool adjustShares(ZoneBalance &balance, std::span<const ZoneMember> members, bool isLinkExhausted,
                  Instant now)
{
    const Duration elapsed = now - balance.adjustedAt;
    if (members.empty() || elapsed < ShareInterval) {
        return false;
    }
    balance.adjustedAt = now;
    if (!hasRecentReport(members)) {
        const bool hasChanged = balance.shares != ClassShares{};
        balance.shares = {};
        balance.urgentShares = {};
        return hasChanged;
    }
    const double intervals =
        std::min(1 / MaxShareBack, std::floor(static_cast<double>(elapsed.count()) /
                                              static_cast<double>(ShareInterval.count())));
    const ClassTimes times = classTimes(members);
    const bool hasMoved = moveShare(balance.shares, times, false, isLinkExhausted, intervals);
    if (now - balance.urgentAt < UrgencyPeriod) {
        return moveShare(balance.urgentShares, times, true, isLinkExhausted, intervals) || hasMoved;
    }
    // No read is urgent: the next ones start from where the others are, not from shares that
    // no read has tested.
    balance.urgentShares = balance.shares;
    return hasMoved;
}

uint64_t requestSeed(std::string_view requestId)
{
    // FNV-1a: a few nanoseconds for an id, and independent of the platform.
    uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char it : requestId) {
        hash = (hash ^ static_cast<unsigned char>(it)) * 0x100000001b3ULL;
    }
    return hash;
}

} // namespace gentianplank
