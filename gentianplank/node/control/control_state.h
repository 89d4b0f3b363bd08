// What the control thread knows and does, shared by the files that make it up: control.cc (messages
// and the clock), control_store.cc (what the store says), control_duty.cc (the duty, and VMs that
// are gone) and control_groups.cc (the groups' primaries).
#pragma once

#include "gentianplank/node/control/control.h"

#include "gentianplank/node/control/deferred_task.h"
#include "gentianplank/node/control/feed_relay.h"
#include "gentianplank/node/control/member_probe.h"
#include "gentianplank/node/control/primary_change.h"
#include "gentianplank/platform/http_row_store.h"
#include "gentianplank/store/table_follower.h"
#include "gentianplank/vm/vm_liveness.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <thread>

namespace gentianplank {

// How long a call to the store may take, and when it is made again.
inline constexpr Duration StoreTimeout = std::chrono::milliseconds(1500);
inline constexpr Duration StoreRetryPause = std::chrono::milliseconds(200);
// How long a fleet that starts for the first time takes until its VMs have written their rows: all
// start within 0.3 s, and a write takes some ms.
inline constexpr Duration FleetSettle = std::chrono::milliseconds(700);
// Numbers of probes that ask for no member: whether the holder of the duty can do it, and whether a
// VM runs.
inline constexpr uint64_t DutyProbe = 0;
inline constexpr uint64_t LifeProbe = 1;

// One group, as this VM supervises it while it holds the duty.
struct GroupState
{
    GroupRecord record;
    uint64_t version = 0;
    std::shared_ptr<PrimaryChange> change;
    BootInstant notBefore{};
    // When the last write of the record by this VM had its answer, or was given up.
    BootInstant writtenAt{};
    bool isConfirming = false;
    BootInstant suspectedAt{};
    BootInstant suspicionSentAt{};
};

// One question to several VMs whether they reach a member.
struct Confirmation
{
    std::string group;
    std::string member;
    size_t outstanding = 0;
    size_t unreachable = 0;
    bool hasEnded = false;
};

// Owned by the control thread.
struct Control::State : std::enable_shared_from_this<Control::State>
{
    State(EntryVmSettings vmSettings, uint64_t number)
        : settings(std::move(vmSettings))
        , incarnation(number)
        , work(boost::asio::make_work_guard(ioContext))
        , storeCaller(ioContext, settings.storeAddress)
        , promotionCaller(ioContext, settings.promotionAddress)
        , store(storeCaller)
        , followed(store, secondHandEnvironment())
        , tickTimer(ioContext)
    {}

    // What the store says.
    void follow();
    TableFollowerListener listenerOf(const std::string &table,
                                     std::function<void(const std::vector<StoredRow> &)> onChanges,
                                     std::function<void(BootInstant)> onUpToDate);
    void takeConfiguration(const std::vector<StoredRow> &rows);
    void takeMembers(const std::vector<StoredRow> &rows);
    void takeFleet(const std::vector<StoredRow> &rows);
    void takeGroupRow(const StoredRow &row);
    void publish();
    void sendToPeer(const std::string &vm, const peer::v1::Frame &frame);

    SecondHandEnvironment secondHandEnvironment();
    std::optional<RelayChoice> relayToFollow(const std::set<std::string> &avoided) const;
    std::vector<VmRecord> vmRecords() const;
    bool isFleetSettled() const;
    void dismissFollowers();
    const TableFollower *followerOf(const std::string &table) const;

    // This VM's own row.
    void registerVm();
    void storeVmRow(bool isLeaving, std::function<void(bool)> done);

    // The duty.
    void tick();
    void considerDuty();
    bool holdsDuty() const;
    std::vector<std::string> dutyRanking() const;
    void takeDuty();
    void promote(const std::string &group, uint64_t version, const std::string &member,
                 std::function<void(platform::PromotionAnswer, std::string)> done);

    // Erases the rows of VMs that are gone for good, so that their parts of the rates are free.
    void superviseVms();
    void eraseVm(const std::string &name);

    // The groups' primaries.
    void superviseGroups();
    void superviseGroup(const std::string &name, GroupState &group);
    bool knowsAllWrites(const GroupState &group) const;
    void createRecord(const std::string &name);
    void beginChange(const std::string &name, ChangeCause cause, const std::string &reason);
    void abandonChanges();
    PrimaryChangeEnvironment changeEnvironment();
    void storeRecord(const GroupRecord &record, uint64_t version,
                     std::function<void(RowResult<uint64_t>)> done);
    void suspect(const std::string &group, const std::string &member);
    void confirm(const std::string &group, const std::string &member);
    void confirmed(const std::shared_ptr<Confirmation> &confirmation, bool isReachable);
    void demote(const MemberEntry &member, uint64_t term, int tries);

    void schedule(Duration delay, std::function<void()> task);
    void handleRequest(const peer::v1::Frame &frame,
                       const std::function<void(const peer::v1::Frame &)> &reply);
    void handleReply(const std::string &vm, const peer::v1::Frame &frame);

    EntryVmSettings settings;
    uint64_t incarnation;
    boost::asio::io_context ioContext;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    HttpCaller storeCaller;
    HttpCaller promotionCaller;
    platform::HttpRowStore store;
    SecondHandRowStore followed;
    FeedRelay relay;
    boost::asio::steady_timer tickTimer;
    Traffic *traffic = nullptr;
    std::thread thread;

    std::unique_ptr<TableFollower> configurationFollower;
    std::unique_ptr<TableFollower> memberFollower;
    std::unique_ptr<TableFollower> fleetFollower;
    std::shared_ptr<const Routing> routing;
    std::map<std::string, FleetMember, std::less<>> members;
    // Entries that are missing, and since when.
    std::map<std::string, BootInstant> absentSince;
    std::map<std::string, VmRecord> vms;
    std::map<std::string, GroupState> groups;
    std::shared_ptr<const FleetView> view = std::make_shared<FleetView>();
    DeferredTask publication{
        [this](std::function<void()> task) { boost::asio::post(ioContext, std::move(task)); },
        [this] { publish(); }};
    FleetProofs proofs;
    BootInstant memberProof{};
    BootInstant startedAt{};
    // Tables whose following is lost, since when.
    std::map<std::string, BootInstant> storeLostAt;
    // The version of this VM's own row as it wrote it; 0 before.
    uint64_t ownRowVersion = 0;
    bool isFollowingAll = false;
    bool isRegistering = false;
    bool isRegistered = false;
    bool wasRegisteredBeforeStart = false;
    bool isLeaving = false;
    bool isHandedOver = false;

    DutyRecord duty;
    uint64_t dutyVersion = 0;
    BootInstant dutyTakenAt{};
    bool isTakingDuty = false;
    // A holder whose process is known to have ended can't send a late call.
    bool mayPromoteAtOnce = false;
    BootInstant holderHeardAt{};
    BootInstant holderAskedAt{};
    // Since when the holder is known to be gone; the epoch while it is not.
    BootInstant holderGoneAt{};
    uint64_t nextProbe = LifeProbe + 1;
    VmLiveness absence;
    std::map<uint64_t, std::shared_ptr<Confirmation>> confirmations;
};

} // namespace gentianplank
