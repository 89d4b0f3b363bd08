#include "gentianplank/settings/derived_times.h"

#include <algorithm>

namespace gentianplank {

namespace {

// The checks of a statement and its way to the member take some of a withdrawn key's time.
constexpr Duration RevocationMargin = std::chrono::milliseconds(300);
constexpr int RevocationMarginDivisor = 4;
// A lost answer of the store shows this long after it was due, and asking again takes a moment too.
constexpr Duration RenewalTime = std::chrono::milliseconds(1800);
constexpr int ShortestWaitDivisor = 3;
// Longer waits save nothing worth having, and the store's history ends.
constexpr Duration LongestWait = std::chrono::seconds(4);
// What a proof is older when the store falls silent is lost of the time that this VM may serve on.
// Only the first VM of a region calls, so that shorter waits cost a few calls.
constexpr Duration LongestConfigurationWait = std::chrono::milliseconds(1500);
// A leaving member's mark may be known late by one lost answer.
constexpr Duration DrainMargin = std::chrono::milliseconds(2000);
// Of a short limit the margins and waits take these parts, in sevenths.
constexpr int DrainParts = 7;
constexpr int DrainMarginParts = 2;
constexpr int MemberWaitParts = 4;
// Clocks of VMs and the last check of an operation differ by less.
constexpr Duration GrowthMargin = std::chrono::milliseconds(500);
// A lowered limit binds in half of the time that it may take.
constexpr Duration LongestLowering = std::chrono::seconds(2);
constexpr int LoweringDivisor = 2;
// Below these a deployment's statements are refused for want of proofs or time.
constexpr Duration LeastRevocation = std::chrono::milliseconds(1500);
constexpr Duration LeastDrain = std::chrono::milliseconds(2000);
constexpr Duration LeastGrace = std::chrono::milliseconds(1500);

} // namespace

DerivedTimes derivedTimes(const EntryVmSettings &settings)
{
    DerivedTimes times;
    const Duration revocation = settings.revocationLimit;
    times.configurationProof =
        revocation - std::min(RevocationMargin, revocation / RevocationMarginDivisor);
    times.configurationWait = std::min(LongestConfigurationWait,
                                       std::max(times.configurationProof - RenewalTime,
                                                times.configurationProof / ShortestWaitDivisor));
    const Duration drain = settings.drainLimit;
    times.memberWait = std::min(LongestWait, drain * MemberWaitParts / DrainParts);
    times.leavingUse = drain - std::min(DrainMargin, drain * DrainMarginParts / DrainParts);
    times.rateGrowth = times.configurationProof + GrowthMargin;
    times.rateLowering = std::min(LongestLowering, settings.configurationLimit / LoweringDivisor);
    return times;
}

std::vector<std::string> tightBounds(const EntryVmSettings &settings)
{
    std::vector<std::string> tight;
    const auto check = [&](Duration value, Duration least, const char *what) {
        if (value < least) {
            tight.push_back(std::string(what) + ": " + std::to_string(toMilliseconds(value)) +
                            " ms, less than " + std::to_string(toMilliseconds(least)) + " ms");
        }
    };
    check(settings.revocationLimit, LeastRevocation, "revocation limit");
    check(settings.drainLimit, LeastDrain, "drain limit");
    check(settings.grace, LeastGrace, "grace");
    return tight;
}

} // namespace gentianplank
