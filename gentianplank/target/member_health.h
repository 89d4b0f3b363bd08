// Detects members that fail, hang or are slow although they report that they are well, from the
// outcomes of statements. Each member is compared with the other members of its group, so that
// faulty statements of callers, which fail everywhere, and a slow path do not count against it.
//
//     recordOutcome(health, "m-1", {"dredge-co", OutcomeSign::Failed, Evidence{}}, now);
//     for (const HealthChange &it : updateHealth(health, now)) { log(it); }
//     const auto withheld = withheldMembers(health, hashOfRequest, isProbeAllowed, now);
//
// All functions are deterministic.
#pragma once

#include "gentianplank/base/time.h"

#include <array>
#include <bitset>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// How a member handled a statement.
enum class OutcomeSign {
    // Says nothing about the member.
    Neutral,
    Well,
    // The member refused the statement because it is busy.
    Refused,
    // An error that a faulty statement of the caller may also cause.
    Failed,
    // No answer within the time that nearly all statements take, or a broken answer.
    Lost,
};

// Outcomes of the last seconds; older ones weigh less.
struct Evidence
{
    double statements = 0;
    // At most `statements`.
    double failures = 0;
    // Mean time at the member of the statements that were handled well, 0 if there were none.
    double meanMs = 0;
};

// Returns the fraction of failures, 0 without statements.
double failureShare(const Evidence &evidence);

// Counts outcomes by organisation, so that one organisation's faulty statements can't dominate.
struct OutcomeTally
{
    struct Bucket
    {
        double statements = 0;
        double failures = 0;
    };
    std::array<Bucket, 8> buckets{};
    // Failures since the last statement that did not fail, and the buckets that they are in.
    uint32_t failuresInRow = 0;
    std::bitset<8> bucketsInRow;
    double meanMs = 0;
    Instant updatedAt{};
};

// `timeAtMember` is used only for OutcomeSign::Well; zero if unknown.
void recordOutcome(OutcomeTally &tally, std::string_view organisation, OutcomeSign sign,
                   Duration timeAtMember, Instant now);
Evidence evidenceOf(const OutcomeTally &tally, Instant now);
// Returns how many buckets of organisations have failures in the last seconds.
uint32_t failingOrganisations(const OutcomeTally &tally, Instant now);

enum class HealthState {
    Healthy,
    // Gets a few probing reads only.
    Suspect,
    // Gets a growing share of its statements.
    Returning,
};

// Thread-safe.
std::string_view toString(HealthState state);

// What is known of one member.
struct MemberHealth
{
    // Outcomes of this VM's own reads, and of all statements with Neutral ones left out.
    OutcomeTally reads;
    OutcomeTally all;
    // The last report of the member's dispatcher about the reads of all VMs.
    Evidence reported;
    Instant reportedAt{};
    HealthState state = HealthState::Healthy;
    Instant since{};
    Instant lastProbeAt{};
    uint32_t goodProbes = 0;
    // Failures since the member began to return.
    uint32_t failuresSinceReturn = 0;
    // Start of the member's process, which ends what was known of an earlier one.
    int64_t startedAtMs = 0;
};

// The members of one group. A plain value.
struct GroupHealth
{
    std::map<std::string, MemberHealth, std::less<>> members;
    // Delay between probing reads of one VM.
    Duration probeInterval = std::chrono::milliseconds(250);
};

// The outcome of one statement, with the dispatcher's report that came with it.
struct ObservedOutcome
{
    std::string_view organisation;
    OutcomeSign sign = OutcomeSign::Neutral;
    Duration timeAtMember{0};
    Evidence report = {};
    bool isRead = true;
};

// A change of a member's state, with the evidence for it.
struct HealthChange
{
    std::string member;
    HealthState state = HealthState::Healthy;
    Evidence evidence;
    // Age of the dispatcher's last report.
    Duration reportAge{0};
    // Time in the previous state.
    Duration after{0};
};

void recordOutcome(GroupHealth &health, std::string_view member, const ObservedOutcome &outcome,
                   Instant now);

// Forgets a member's history if its process has been replaced since.
void setMemberStart(GroupHealth &health, std::string_view member, int64_t startedAtMs);

// Moves members between the states; returns the changes. A member becomes suspect only while
// another member of the group is known to do much better, so at least one is never suspect.
std::vector<HealthChange> updateHealth(GroupHealth &health, Instant now);

// Whether the member's recent reads fail so often that one may be tried again at another member.
bool isDoubtful(const GroupHealth &health, std::string_view member, Instant now);

// Whether a read of the organisation that failed at the member may be tried again at another one:
// the member is doubtful, or it failed this VM's last reads while the organisation's reads are not
// known to fail at members that do not.
bool mayBeAtFault(const GroupHealth &health, std::string_view member, std::string_view organisation,
                  Instant now);

// Returns the members that get no statement with this hash of its request: suspects, unless
// `mayProbe` and a probe is due, and returning members beyond their present share.
std::vector<std::string> withheldMembers(const GroupHealth &health, size_t requestHash,
                                         bool mayProbe, Instant now);

// Records that a statement is sent to the member, which counts as a probe if it is suspect.
void recordSent(GroupHealth &health, std::string_view member, Instant now);

// Returns the delay between probes of one VM, such that all VMs together send a few a second.
Duration probeIntervalFor(size_t vms);

} // namespace gentianplank
