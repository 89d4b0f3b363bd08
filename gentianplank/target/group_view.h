// A VM's view of a database group, derived from the last report of each member.
//
//     GroupView view = makeGroupView(target);
//     applyReport(view, report);
//     const MemberView *primary = primaryOf(view);
//     if (isConfirmed(view, written)) { ...acknowledge... }
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/proto/configuration.pb.h"
#include "gentianplank/session/log_position.h"
#include "gentianplank/zone/place.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

enum class Role {
    Unknown,
    Primary,
    Replica,
};

// One status report of a member, with the time of its receipt.
struct MemberReport
{
    std::string member;
    Role role = Role::Unknown;
    LogPosition position;
    // The highest term that was announced to the member.
    uint64_t fencedTerm = 0;
    Instant receivedAt{};
    // The member's monotonic clock when it sent the report, if the report has it.
    std::optional<Duration> sentAt{};
    // How long the member had received nothing from its group's primary.
    Duration primarySilence{};
};

struct MemberView
{
    std::string name;
    std::string address;
    Place place;
    bool leaving = false;
    Role role = Role::Unknown;
    LogPosition position;
    uint64_t fencedTerm = 0;
    // When the last report was sent, estimated from the member's clock so that time spent in
    // buffers counts as age; the clock's epoch if the member never reported.
    Instant reportedAt{};
    // When the last report was received.
    Instant receivedAt{};
    // The smallest difference seen between the time of receipt and the member's clock.
    std::optional<Duration> clockOffset;
    // The member's clock in the last report.
    Duration lastSentAt{};
    // False after the member's report stream broke.
    bool connected = false;
    // How long the member had received nothing from its group's primary at its last report.
    Duration primarySilence{};
};

// Every write that was acknowledged before `at` has a log position of at most `position`.
struct FreshnessSample
{
    Instant at{};
    LogPosition position;
};

// A plain value. The control thread updates it and publishes copies.
struct GroupView
{
    std::string group;
    uint32_t slots = 0;
    uint32_t connections = 0;
    std::vector<MemberView> members;
    // Samples of the last MaxAcceptedAge, oldest first; shared between copies. Null when empty.
    std::shared_ptr<const std::deque<FreshnessSample>> history;
    // A sample that a majority hasn't confirmed yet.
    std::optional<FreshnessSample> pendingSample;
};

// Upper limit of accepted ages; larger ones are treated as this one.
inline constexpr Duration MaxAcceptedAge = std::chrono::seconds(60);

// Builds a view from the configuration, without reports.
GroupView makeGroupView(const configuration::v1::Target &target);

// Applies the members, limits and leaving marks of a changed target. Keeps the reports of members
// that remain.
void updateTarget(GroupView &view, const configuration::v1::Target &target);

// Applies a report. A report of an unknown member, or one received before the member's last report,
// is ignored.
void applyReport(GroupView &view, const MemberReport &report);

// Marks a member's report stream as broken, until its next report.
void markDisconnected(GroupView &view, std::string_view member);

// Returns the member of that name, or nullptr.
const MemberView *findMember(const GroupView &view, std::string_view name);

// Returns the number of members that make a majority.
size_t majorityOf(const GroupView &view);

// Returns the highest term that any member reported or that was announced to one.
uint64_t highestTerm(const GroupView &view);

// Returns the member that reports the primary role in the highest term; nullptr if there is none or
// if a later term has been announced to any member.
const MemberView *primaryOf(const GroupView &view);

// Whether a majority of the members holds this position in the position's term. Once that is so,
// the log of every later primary holds the position.
bool isConfirmed(const GroupView &view, const LogPosition &position);

// Returns the highest confirmed position in the primary's term; the zero position if there is no
// primary or no majority in its term.
LogPosition confirmedPosition(const GroupView &view);

// Returns the position that a member must have reached to serve data of at most the given age:
// every write acknowledged before now - age has at most this position. Returns nullopt if it isn't
// known.
std::optional<LogPosition> positionForAge(const GroupView &view, Duration age, Instant now);

// Whether enough members reported recently and are close enough to the primary's position to
// confirm a write in time.
bool canConfirm(const GroupView &view, Instant now);

} // namespace gentianplank
