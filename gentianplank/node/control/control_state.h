// The state of the control thread, shared by control.cc (messages and the periodic tick),
// control_store.cc (table feeds and this VM's own row), control_fleet_rows.cc (the rows of the
// fleet table), control_places.cc (evacuated zones and cold members), control_duty.cc (the
// promotion duty, and VMs that no longer answer), control_groups.cc (the groups' primaries) and
// control_failing_primary.cc (primaries that fail their statements).
#pragma once

#include "gentianplank/node/control/control.h"

#include "gentianplank/node/control/deferred_task.h"
#include "gentianplank/node/control/feed_relay.h"
#include "gentianplank/node/control/known_group.h"
#include "gentianplank/node/control/member_probe.h"
#include "gentianplank/node/control/primary_change.h"
#include "gentianplank/platform/http_row_store.h"
#include "gentianplank/store/table_follower.h"
#include "gentianplank/target/primary_testimony.h"
#include "gentianplank/vm/vm_liveness.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>
#include <thread>

namespace gentianplank {

// The time limit of a call to the store, and the delay before a failed one is retried.
inline constexpr Duration StoreTimeout = std::chrono::milliseconds(1500);
inline constexpr Duration StoreRetryDelay = std::chrono::milliseconds(200);
// Time for the VMs of a fleet that starts for the first time to write their rows: all start within
// 0.3 s, and a write takes a few milliseconds.
inline constexpr Duration FleetSettleTime = std::chrono::milliseconds(700);
// Numbers of probes without a member: one asks whether the holder of the duty can perform it, the
// other whether a VM runs. Probes of members are numbered from the next one on.
inline constexpr uint64_t DutyProbe = 0;
inline constexpr uint64_t LivenessProbe = 1;

// The supervision of one group while this VM holds the duty.
struct GroupState : KnownGroup
{
    std::shared_ptr<PrimaryChange> change;
    // A check of the record with the members is under way; how many of a record of an earlier era
    // ended without a verdict, and how many of a confirmed one refuted it in a row.
    bool isCheckingRecord = false;
    int recordChecks = 0;
    int refutations = 0;
    // The members whose entries claim to be the primary, since when they differ from the record,
    // and when the record was last checked for it.
    std::set<std::string> claimants;
    BootInstant disputedSince{};
    BootInstant disputeCheckedAt{};
    BootInstant nextChangeAt{};
    // A write of the record by this VM may still be performed.
    bool isWriting = false;
    // When the last write of the record by this VM was answered or failed.
    BootInstant writtenAt{};
    bool isCheckingReachability = false;
    BootInstant suspectedAt{};
    BootInstant suspicionSentAt{};
    // When the primary was last reported as failing, and when another member was last seen to
    // become primary.
    BootInstant failingReportedAt{};
    BootInstant primaryChangedAt{};
};

// A check by several VMs whether they can reach a member.
struct ReachabilityCheck
{
    std::string group;
    std::string member;
    size_t outstanding = 0;
    size_t unreachable = 0;
    bool hasEnded = false;
};

// What VMs saw of a primary that is said to fail its statements, by VM.
struct TestimonyCheck
{
    std::string group;
    std::string member;
    std::map<std::string, PrimaryTestimony> testimonies;
    // Another member of the group answered a status request.
    bool otherAnsweredStatus = false;
};

// A check of a group's record with all members of the group.
struct RecordCheck
{
    size_t outstanding = 0;
    std::vector<MemberAnswer> answers;
};

// Owned by the control thread.
struct Control::State : std::enable_shared_from_this<Control::State>
{
    State(EntryVmSettings vmSettings, uint64_t number)
        : settings(std::move(vmSettings))
        , incarnation(number)
        , work(boost::asio::make_work_guard(ioContext))
        , storeClient(ioContext, settings.storeAddress)
        , promotionClient(ioContext, settings.promotionAddress)
        , store(storeClient)
        , relayedStore(store, relayedRowStoreEnvironment())
        , tickTimer(ioContext)
    {}

    // The store's tables.
    void startFollowing();
    TableFollowerListener
    makeListener(const std::string &table,
                 std::function<void(const std::vector<StoredRow> &)> onChanges,
                 std::function<void(BootInstant)> onUpToDate);
    void applyConfiguration(const std::vector<StoredRow> &rows);
    void requireRevision(uint64_t revision);
    void applyEvacuations(const std::vector<StoredRow> &rows);
    void endLostEvacuations();
    bool isEvacuated(const FleetMember &member) const;
    void noteColdPhases(FleetMember &member, const FleetMember *known) const;
    void setColdPhases(std::map<std::string, FleetMember, std::less<>> &listed) const;
    bool hasOtherCandidate(const std::string &group, const std::string &primary) const;
    void publishConfigurationProof(BootInstant at);
    void applyMembers(const std::vector<StoredRow> &rows);
    void applyFleetRows(const std::vector<StoredRow> &rows);
    void applyVmRow(const StoredRow &row);
    void applyGroupRow(const StoredRow &row);
    void applyDutyRow(const StoredRow &row);
    void beginEra(uint64_t era);
    void dropLostVms();
    void publish();
    void sendToPeer(const std::string &vm, const peer::v1::Frame &frame);

    RelayedRowStoreEnvironment relayedRowStoreEnvironment();
    std::optional<RelayChoice> selectRelay(const std::set<std::string> &avoided) const;
    std::vector<VmRecord> vmRecords() const;
    bool isFleetSettled() const;
    void notifyFollowersOfStoreLoss();
    const TableFollower *followerOf(const std::string &table) const;

    // This VM's own row.
    bool isOwnRowStored() const;
    void registerVm();
    void storeVmRow(bool isLeaving, std::function<void(bool)> done);

    // The promotion duty.
    void tick();
    void acquireDutyIfDue();
    bool holdsDuty() const;
    std::vector<std::string> dutyRanking() const;
    void acquireDuty();
    void recordDutyAcquired(bool isFirstOfEra);
    void promote(const std::string &group, const StoreVersion &version, const std::string &member,
                 BootInstant provenAt,
                 std::function<void(platform::PromotionReply, std::string)> done);

    // Erases the rows of VMs that are gone for good, so that their rate shares become free.
    void superviseVms();
    void eraseVm(const std::string &name);

    // The groups' primaries.
    void superviseGroups();
    void superviseGroup(const std::string &name, GroupState &group);
    bool knowsAllWrites(const GroupState &group) const;
    void createRecord(const std::string &name);
    void confirmRecord(const std::string &name);
    void noteClaim(const MemberEntry &entry, bool claimsPrimary);
    void checkDisputedRecord(const std::string &name);
    void checkRecordWithMembers(const std::string &name);
    void endRecordCheck(const std::string &name, const RecordCheck &check);
    void endDisputeCheck(const std::string &name, RecordVerdict verdict);
    void storeConfirmedRecord(const std::string &name);
    void beginChange(const std::string &name, ChangeCause cause, const std::string &reason);
    void abandonChanges();
    PrimaryChangeEnvironment changeEnvironment();
    void storeRecord(const GroupRecord &record, const StoreVersion &version,
                     std::function<void(RowResult<StoreVersion>)> done);
    void attemptRecordWrite(const GroupRecord &record, const StoreVersion &version,
                            const StoreVersion &ownDuty,
                            std::function<void(RowResult<StoreVersion>)> answered);
    void handleSuspicion(const std::string &group, const std::string &member);
    void checkReachability(const std::string &group, const std::string &member);
    void recordReachability(const std::shared_ptr<ReachabilityCheck> &check, bool isReachable);
    void handleFailingPrimary(const std::string &group, const std::string &member,
                              const Evidence &evidence);
    void collectTestimonies(const std::string &group, const std::string &member);
    void recordTestimony(const std::string &vm, const peer::v1::ProbeAnswer &answer);
    void endTestimonies(uint64_t check);
    void demote(const MemberEntry &member, uint64_t term, int attempts);

    void schedule(Duration delay, std::function<void()> task);
    void handleRequest(const peer::v1::Frame &frame,
                       const std::function<void(const peer::v1::Frame &)> &reply);
    void handleReply(const std::string &vm, const peer::v1::Frame &frame);

    EntryVmSettings settings;
    uint64_t incarnation;
    boost::asio::io_context ioContext;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    HttpClient storeClient;
    HttpClient promotionClient;
    platform::HttpRowStore store;
    RelayedRowStore relayedStore;
    FeedRelay relay;
    boost::asio::steady_timer tickTimer;
    Traffic *traffic = nullptr;
    std::thread thread;

    std::unique_ptr<TableFollower> configurationFollower;
    std::unique_ptr<TableFollower> memberFollower;
    std::unique_ptr<TableFollower> fleetFollower;
    std::shared_ptr<const Routing> routing;
    std::map<std::string, FleetMember, std::less<>> members;
    // Known members whose entries are missing from the store, and since when.
    std::map<std::string, BootInstant> missingSince;
    KnownEvacuations evacuations;
    std::map<std::string, VmRecord> vms;
    // Known VMs whose rows were lost when the store came back from an older copy, and since when.
    std::map<std::string, BootInstant> lostVms;
    std::map<std::string, GroupState> groups;
    std::shared_ptr<const FleetView> view = std::make_shared<FleetView>();
    DeferredTask publication{
        [this](std::function<void()> task) { boost::asio::post(ioContext, std::move(task)); },
        [this] { publish(); }};
    FleetProofs proofs;
    BootInstant membersProvenAt{};
    BootInstant startedAt{};
    // Tables whose feed has failed, and since when.
    std::map<std::string, BootInstant> storeLostAt;
    // When this VM first read from the store in its current era.
    BootInstant eraSeenAt{};
    // When this process saw the store come back from an older copy; the epoch if it has not.
    BootInstant newEraAt{};
    // The tables whose first rows of a new era are being applied.
    std::set<std::string> tablesInNewEra;
    // The revision of the stored configuration, 0 if there is none, and the lowest that can be
    // current as far as this VM knows.
    uint64_t storedRevision = 0;
    uint64_t minRevision = 0;
    // The version of this VM's own row after its last write; absent before the first.
    StoreVersion ownRowVersion;
    bool isFollowingAll = false;
    bool isRegistering = false;
    bool isRegistered = false;
    bool wasRegisteredBeforeStart = false;
    bool isLeaving = false;
    bool isHandedOver = false;

    DutyRecord duty;
    StoreVersion dutyVersion;
    BootInstant dutyAcquiredAt{};
    // Until when an earlier holder of the same era may have written; the epoch if there was none.
    BootInstant earlierHolderWroteUntil{};
    bool isAcquiringDuty = false;
    // Set when there was no previous holder or its process is known to have ended, so that no late
    // promotion call of it can arrive.
    bool mayPromoteImmediately = false;
    BootInstant holderLastSeenAt{};
    BootInstant holderProbedAt{};
    // Since when the holder is known to be gone; the epoch while it is not.
    BootInstant holderGoneAt{};
    uint64_t nextProbe = LivenessProbe + 1;
    VmLiveness vmLiveness;
    std::map<uint64_t, std::shared_ptr<ReachabilityCheck>> reachabilityChecks;
    std::map<uint64_t, TestimonyCheck> testimonyChecks;
};

} // namespace gentianplank
