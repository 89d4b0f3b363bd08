#include "gentianplank/settings/derived_times.h"

#include <algorithm>

namespace gentianplank {

namespace {

// Reserved for checking a statement and sending it to the member before a withdrawn key must be
// refused.
constexpr Duration RevocationMargin = std::chrono::milliseconds(300);
constexpr int RevocationMarginDivisor = 4;
// Time to detect that a reply of the store was lost, and to repeat the request.
constexpr Duration LostReplyAllowance = std::chrono::milliseconds(1800);
constexpr int MinWaitDivisor = 3;
// Longer waits save few requests, and the store keeps its change history for a limited time only.
constexpr Duration MaxFeedWait = std::chrono::seconds(4);
// The age of the proof when the store becomes unreachable is lost from the time that this VM may
// continue to serve. Only the first VM of a region calls the store, so short waits cost few calls.
constexpr Duration MaxConfigurationFeedWait = std::chrono::milliseconds(1500);
// One lost reply delays the notice that a member is leaving by up to this.
constexpr Duration DrainMargin = std::chrono::milliseconds(2000);
// Shares of a short drain limit, in sevenths, taken by the margin and by the feed's wait.
constexpr int DrainDivisor = 7;
constexpr int DrainMarginParts = 2;
constexpr int MemberWaitParts = 4;
// Exceeds the clock difference between VMs plus the time since an operation's last check.
constexpr Duration RateIncreaseMargin = std::chrono::milliseconds(500);
// A lowered limit is enforced within half of the time allowed for a configuration change.
constexpr Duration MaxRateReductionTime = std::chrono::seconds(2);
constexpr int RateReductionDivisor = 2;
// With shorter bounds, statements are refused because proofs expire or time runs out.
constexpr Duration MinRevocationLimit = std::chrono::milliseconds(1500);
constexpr Duration MinDrainLimit = std::chrono::milliseconds(2000);
constexpr Duration MinGrace = std::chrono::milliseconds(1500);

} // namespace

DerivedTimes derivedTimes(const EntryVmSettings &settings)
{
    DerivedTimes times;
    const Duration revocation = settings.revocationLimit;
    times.configurationProofLifetime =
        revocation - std::min(RevocationMargin, revocation / RevocationMarginDivisor);
    const Duration proofLifetime =
        settings.evacuationLimit > Duration::zero()
            ? std::min(times.configurationProofLifetime, settings.evacuationLimit)
            : times.configurationProofLifetime;
    times.configurationFeedWait =
        std::min(MaxConfigurationFeedWait,
                 std::max(proofLifetime - LostReplyAllowance, proofLifetime / MinWaitDivisor));
    const Duration drain = settings.drainLimit;
    times.memberFeedWait = std::min(MaxFeedWait, drain * MemberWaitParts / DrainDivisor);
    times.leavingPrimaryUse =
        drain - std::min(DrainMargin, drain * DrainMarginParts / DrainDivisor);
    times.rateIncreaseDelay = times.configurationProofLifetime + RateIncreaseMargin;
    times.rateReductionTime =
        std::min(MaxRateReductionTime, settings.configurationLimit / RateReductionDivisor);
    return times;
}

std::vector<std::string> tooShortBounds(const EntryVmSettings &settings)
{
    std::vector<std::string> tooShort;
    const auto check = [&](Duration value, Duration minimum, const char *what) {
        if (value < minimum) {
            tooShort.push_back(std::string(what) + ": " + std::to_string(toMilliseconds(value)) +
                               " ms, less than " + std::to_string(toMilliseconds(minimum)) + " ms");
        }
    };
    check(settings.revocationLimit, MinRevocationLimit, "revocation limit");
    check(settings.drainLimit, MinDrainLimit, "drain limit");
    check(settings.grace, MinGrace, "grace");
    return tooShort;
}

} // namespace gentianplank
