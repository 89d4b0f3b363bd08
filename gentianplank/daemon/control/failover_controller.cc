#include "gentianplank/daemon/control/failover_controller.h"

#include "gentianplank/base/log.h"
#include "gentianplank/proto/target.grpc.pb.h"
#include "gentianplank/proto/vm.grpc.pb.h"
#include "gentianplank/target/failover.h"

#include <grpcpp/client_context.h>

#include <atomic>
#include <future>
#include <map>
#include <random>
#include <thread>

namespace gentianplank {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(10);
constexpr Duration CallTimeout = std::chrono::milliseconds(500);
constexpr Duration ObserveTimeout = std::chrono::milliseconds(200);
constexpr Duration StoreTimeout = std::chrono::milliseconds(1000);
constexpr Duration OutstandingPollInterval = std::chrono::milliseconds(5);

// The bounds of a planned switch: for draining and again for the log to catch up, and for the
// promotion.
constexpr Duration DrainTimeout = std::chrono::milliseconds(1500);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(10);
constexpr Duration SwitchTimeout = std::chrono::seconds(3);

using target::v1::MemberStatus;

// Owns what gRPC accesses during an asynchronous call.
template <typename Service, typename Request, typename Reply>
struct OutstandingCall
{
    grpc::ClientContext context;
    std::unique_ptr<typename Service::Stub> stub;
    Request request;
    Reply reply;
};

std::string newPromoterId(const std::string &vm)
{
    std::random_device random;
    return vm + "/" + std::to_string(random()) + "-" + std::to_string(random());
}

struct WatchedGroup
{
    GroupFailover failover;
    std::vector<FailoverWatcher> watchers;
    // Set during a planned switch: receives the new primary and its term, or an empty name when
    // the switch was abandoned.
    std::shared_ptr<std::promise<std::pair<std::string, uint64_t>>> switchResult;
};

Refusal refuseSwitch(const std::string &why)
{
    return refuse(Reason::TargetFailed, ExecutionOutcome::NotRun, why);
}

} // namespace

struct FailoverController::State : std::enable_shared_from_this<FailoverController::State>
{
    State(ControlLoop &controlLoop, ChannelFactory &factory, ChannelFactory &targetFactory,
          FleetState &fleet, GroupViewRegistry &viewRegistry, TableStore &tableStore,
          const VmInfo &info)
        : loop(controlLoop)
        , channels(factory)
        , targetChannels(targetFactory)
        , fleetState(fleet)
        , groupViews(viewRegistry)
        , store(tableStore)
        , self(info)
        , promoter(newPromoterId(info.name))
    {}

    void tick();
    void updateWatched();
    void apply(const std::string &group, const std::vector<FailoverAction> &actions);
    void queryWatcher(const std::string &group, const FailoverAction &action);
    void fenceMember(const std::string &group, const FailoverAction &action);
    void promoteMember(const std::string &group, const FailoverAction &action);
    void recordPrimary(const std::string &group, const FailoverAction &action);
    void finishSwitch(const std::string &group, const FailoverAction &action);
    std::string addressOf(const std::string &group, const std::string &member) const;

    // Starts a call. `then` runs on the control thread with the status and reply; it doesn't run
    // when the address is empty or the controller is stopping.
    template <typename Service, typename Reply, typename Request, typename Start, typename Then>
    void callAsync(const std::string &address, const Request &request, Start start, Then then);

    // Stops new transactions at the primary for a time; zero ends the drain. Blocks.
    tl::expected<MemberStatus, Refusal> drain(const std::string &address, const std::string &group,
                                              uint64_t term, Duration lasts);
    // Drains until no transaction is open; returns the primary's log position then. Blocks.
    tl::expected<LogPosition, Refusal> drainUntilIdle(const GroupView &view,
                                                      const MemberView &primary);
    // Returns whether the member's log reached the position in time. Blocks.
    bool waitForLogPosition(const std::string &group, const std::string &member,
                            const LogPosition &position);
    // Stores the request under the group's next switch number, so that concurrent switches
    // conflict. Returns whether the store confirmed the write. Blocks.
    bool storeAuditRecord(const admin::v1::SwitchPrimaryRequest &request);

    ControlLoop &loop;
    ChannelFactory &channels;
    ChannelFactory &targetChannels;
    FleetState &fleetState;
    GroupViewRegistry &groupViews;
    TableStore &store;
    VmInfo self;
    std::string promoter;
    std::atomic<int> outstanding{0};
    std::atomic<bool> stopping{false};
    // Control thread only.
    std::map<std::string, WatchedGroup> watched;
    std::shared_ptr<const VmDirectory> lastVms;
    std::shared_ptr<const ConfigurationView> lastConfiguration;
};

template <typename Service, typename Reply, typename Request, typename Start, typename Then>
void FailoverController::State::callAsync(const std::string &address, const Request &request,
                                          Start start, Then then)
{
    if (address.empty() || stopping) {
        return;
    }
    auto call = std::make_shared<OutstandingCall<Service, Request, Reply>>();
    constexpr bool isTarget = std::is_same_v<Service, target::v1::Member>;
    call->stub = Service::NewStub((isTarget ? targetChannels : channels).channelTo(address));
    call->request = request;
    call->context.set_deadline(std::chrono::system_clock::now() + CallTimeout);
    ++outstanding;
    start(*call, [self = shared_from_this(), call, then](const grpc::Status &status) {
        if (!self->stopping) {
            self->loop.post([call, then, status] { then(status, call->reply); });
        }
        --self->outstanding;
    });
}

std::string FailoverController::State::addressOf(const std::string &group,
                                                 const std::string &member) const
{
    const auto view = groupViews.view(group);
    const MemberView *found = view == nullptr ? nullptr : findMember(*view, member);
    return found == nullptr ? std::string{} : found->address;
}

void FailoverController::State::queryWatcher(const std::string &group, const FailoverAction &action)
{
    const auto vms = fleetState.vms.get();
    const VmInfo *vm = findVm(*vms, action.target);
    vm::v1::ObserveRequest request;
    request.set_group(group);
    request.set_term(action.term);
    callAsync<vm::v1::Peer, vm::v1::ObserveReply>(
        vm == nullptr ? std::string{} : vm->address, request,
        [](auto &call, auto onDone) {
            call.stub->async()->Observe(&call.context, &call.request, &call.reply, onDone);
        },
        [this, group, watcher = action.target](const grpc::Status &status,
                                               const vm::v1::ObserveReply &reply) {
            const auto it = watched.find(group);
            if (it != watched.end() && status.ok() && reply.watches()) {
                onObservation(it->second.failover,
                              {watcher, reply.term(), reply.suspects(), steadyNow()});
            }
        });
}

void FailoverController::State::fenceMember(const std::string &group, const FailoverAction &action)
{
    target::v1::FenceRequest request;
    request.set_group(group);
    request.set_term(action.term);
    request.set_promoter(promoter);
    callAsync<target::v1::Member, MemberStatus>(
        addressOf(group, action.target), request,
        [](auto &call, auto onDone) {
            call.stub->async()->Fence(&call.context, &call.request, &call.reply, onDone);
        },
        [this, group, action](const grpc::Status &status, const MemberStatus &reply) {
            const auto it = watched.find(group);
            const bool refused = status.error_code() == grpc::StatusCode::FAILED_PRECONDITION;
            if (it == watched.end() || (!status.ok() && !refused)) {
                return;
            }
            onFenceReply(it->second.failover,
                         {action.target, action.term, status.ok(), fromWire(reply.position()),
                          reply.fenced_term()},
                         steadyNow());
            tick();
        });
}

void FailoverController::State::promoteMember(const std::string &group,
                                              const FailoverAction &action)
{
    target::v1::PromoteRequest request;
    request.set_group(group);
    request.set_term(action.term);
    request.set_promoter(promoter);
    callAsync<target::v1::Member, MemberStatus>(
        addressOf(group, action.target), request,
        [](auto &call, auto onDone) {
            call.stub->async()->Promote(&call.context, &call.request, &call.reply, onDone);
        },
        [this, group, action](const grpc::Status &status, const MemberStatus & /*reply*/) {
            const auto it = watched.find(group);
            const bool refused = status.error_code() == grpc::StatusCode::FAILED_PRECONDITION;
            if (it == watched.end() || (!status.ok() && !refused)) {
                return;
            }
            onPromoteReply(it->second.failover, {action.target, action.term, status.ok()},
                           steadyNow());
            tick();
        });
}

void FailoverController::State::recordPrimary(const std::string &group,
                                              const FailoverAction &action)
{
    const FailoverTimeline &times = watched.at(group).failover.timeline;
    logInfo("failover", "Group ", group, " has primary ", action.target, " in term ", action.term,
            ": watchers agreed after ", toMilliseconds(times.agreedAt - times.suspectedAt),
            " ms, granted after ", toMilliseconds(times.grantedAt - times.agreedAt),
            " ms, promoted after ", toMilliseconds(times.promotedAt - times.grantedAt), " ms.");
    vm::v1::GroupTerm term;
    term.set_group(group);
    term.set_term(action.term);
    term.set_primary(action.target);
    TableTransaction transaction;
    transaction.writes.push_back({"groups/" + group + "/primary", term.SerializeAsString()});
    loop.runBlocking([self = shared_from_this(), transaction] {
        if (!self->store.transact(transaction, StoreTimeout)) {
            logWarning("failover", "Storing the record of a new primary failed.");
        }
    });
}

void FailoverController::State::finishSwitch(const std::string &group, const FailoverAction &action)
{
    auto &resultPromise = watched.at(group).switchResult;
    if (resultPromise != nullptr) {
        resultPromise->set_value({action.target, action.term});
        resultPromise.reset();
    }
}

void FailoverController::State::apply(const std::string &group,
                                      const std::vector<FailoverAction> &actions)
{
    for (const FailoverAction &it : actions) {
        switch (it.kind) {
        case FailoverActionKind::QueryWatcher:
            queryWatcher(group, it);
            break;
        case FailoverActionKind::Fence:
            fenceMember(group, it);
            break;
        case FailoverActionKind::Promote:
            logInfo("failover", "Group ", group, ": promoting ", it.target, " in term ", it.term,
                    ".");
            promoteMember(group, it);
            break;
        case FailoverActionKind::Record:
            recordPrimary(group, it);
            finishSwitch(group, it);
            break;
        case FailoverActionKind::Abandon:
            logWarning("failover", "Group ", group, ": term ", it.term, " was abandoned.");
            finishSwitch(group, {it.kind, {}, it.term});
            break;
        }
    }
}

void FailoverController::State::updateWatched()
{
    const auto vms = fleetState.vms.get();
    const auto configuration = fleetState.configuration.get();
    if (vms == lastVms && configuration == lastConfiguration) {
        return;
    }
    lastVms = vms;
    lastConfiguration = configuration;
    std::map<std::string, WatchedGroup> wanted;
    for (const configuration::v1::Target &target : configuration->document().targets()) {
        std::vector<FailoverWatcher> watchers;
        bool isWatcher = false;
        for (const std::string &it : watchersOf(*vms, target.group(), WatchersPerGroup)) {
            watchers.push_back({it, findVm(*vms, it)->place});
            isWatcher = isWatcher || it == self.name;
        }
        sortByMajorityProximity(watchers, makeGroupView(target));
        const auto known = watched.find(target.group());
        if (known == watched.end() && !isWatcher) {
            continue;
        }
        // A failover that this VM started continues even if it no longer watches the group.
        if (!isWatcher && known->second.failover.phase == FailoverPhase::Watching) {
            continue;
        }
        WatchedGroup group = known == watched.end()
                                 ? WatchedGroup{makeGroupFailover(self.name, promoter), {}, {}}
                                 : std::move(known->second);
        group.watchers = std::move(watchers);
        group.failover.timing =
            timingFor(static_cast<size_t>(configuration->document().targets_size()));
        wanted.emplace(target.group(), std::move(group));
    }
    watched = std::move(wanted);
}

void FailoverController::State::tick()
{
    updateWatched();
    const Instant now = steadyNow();
    for (auto &[name, group] : watched) {
        const auto view = groupViews.view(name);
        if (view != nullptr) {
            apply(name, nextActions(group.failover, *view, group.watchers, now));
        }
    }
}

tl::expected<MemberStatus, Refusal> FailoverController::State::drain(const std::string &address,
                                                                     const std::string &group,
                                                                     uint64_t term, Duration lasts)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + CallTimeout);
    target::v1::DrainRequest request;
    request.set_group(group);
    request.set_term(term);
    request.set_lasts_ms(static_cast<uint32_t>(toMilliseconds(lasts)));
    MemberStatus reply;
    const grpc::Status status = target::v1::Member::NewStub(targetChannels.channelTo(address))
                                    ->Drain(&context, request, &reply);
    if (!status.ok()) {
        return tl::unexpected(
            refuseSwitch("draining the primary failed: " + status.error_message()));
    }
    return reply;
}

tl::expected<LogPosition, Refusal>
FailoverController::State::drainUntilIdle(const GroupView &view, const MemberView &primary)
{
    const Instant until = steadyNow() + DrainTimeout;
    while (steadyNow() < until) {
        const auto status =
            drain(primary.address, view.group, primary.position.term, DrainTimeout + SwitchTimeout);
        if (!status) {
            return tl::unexpected(status.error());
        }
        if (status->open_transactions() == 0) {
            return fromWire(status->position());
        }
        std::this_thread::sleep_for(DrainPollInterval);
    }
    return tl::unexpected(refuseSwitch("open transactions on the primary did not end in time"));
}

bool FailoverController::State::waitForLogPosition(const std::string &group,
                                                   const std::string &member,
                                                   const LogPosition &position)
{
    const Instant until = steadyNow() + DrainTimeout;
    auto view = groupViews.view(group);
    while (steadyNow() < until) {
        if (findMember(*view, member)->position >= position) {
            return true;
        }
        view = groupViews.waitForChange(group, view, until);
    }
    return false;
}

bool FailoverController::State::storeAuditRecord(const admin::v1::SwitchPrimaryRequest &request)
{
    const auto row = store.read("groups/" + request.group() + "/switches", StoreTimeout);
    if (!row) {
        return false;
    }
    TableTransaction transaction;
    transaction.conditions.push_back({row->key, row->revision});
    transaction.writes.push_back({row->key, std::to_string(row->revision)});
    transaction.writes.push_back(
        {"audit/switches/" + request.group() + "/" + std::to_string(row->revision),
         request.SerializeAsString()});
    const auto result = store.transact(transaction, StoreTimeout);
    return result && result->committed;
}

FailoverController::FailoverController(ControlLoop &loop, ChannelFactory &channels,
                                       ChannelFactory &targetChannels, FleetState &fleetState,
                                       GroupViewRegistry &groupViews, TableStore &store,
                                       const VmInfo &self)
    : m_state(std::make_shared<State>(loop, channels, targetChannels, fleetState, groupViews, store,
                                      self))
{}

FailoverController::~FailoverController() = default;

void FailoverController::start()
{
    m_state->loop.every(TickInterval, [state = m_state] { state->tick(); });
}

vm::v1::ObserveReply FailoverController::observe(const vm::v1::ObserveRequest &request)
{
    auto replyPromise = std::make_shared<std::promise<vm::v1::ObserveReply>>();
    auto future = replyPromise->get_future();
    m_state->loop.post([state = m_state, request, replyPromise] {
        vm::v1::ObserveReply reply;
        const auto it = state->watched.find(request.group());
        const auto view = state->groupViews.view(request.group());
        if (it != state->watched.end() && view != nullptr) {
            const Observation observation =
                gentianplank::observe(it->second.failover, *view, request.term(), steadyNow());
            reply.set_watches(true);
            reply.set_term(observation.term);
            reply.set_suspects(observation.suspects);
        }
        replyPromise->set_value(reply);
    });
    if (future.wait_for(ObserveTimeout) != std::future_status::ready) {
        return {};
    }
    return future.get();
}

tl::expected<admin::v1::SwitchPrimaryReply, Refusal>
FailoverController::switchPrimary(const admin::v1::SwitchPrimaryRequest &request)
{
    const auto view = m_state->groupViews.view(request.group());
    const MemberView *primary = view == nullptr ? nullptr : primaryOf(*view);
    const MemberView *member = view == nullptr ? nullptr : findMember(*view, request.member());
    if (request.operator_name().empty() || request.reason().empty()) {
        return tl::unexpected(refuse(Reason::InvalidRequest, ExecutionOutcome::NotRun,
                                     "a switch needs an operator name and a reason"));
    }
    if (primary == nullptr || member == nullptr || member == primary || !member->connected) {
        return tl::unexpected(
            refuseSwitch("this VM knows no primary, or no such connected replica, of group " +
                         request.group() + "; use a VM that watches the group"));
    }
    if (!m_state->storeAuditRecord(request)) {
        return tl::unexpected(refuse(Reason::StoreUnavailable, ExecutionOutcome::NotRun,
                                     "storing the audit record of the switch failed"));
    }
    logInfo("failover", request.operator_name(), " switches group ", request.group(), " to ",
            request.member(), ": ", request.reason());
    const Instant startedAt = steadyNow();
    const auto position = m_state->drainUntilIdle(*view, *primary);
    const bool isCaughtUp =
        position && m_state->waitForLogPosition(request.group(), request.member(), *position);
    if (!isCaughtUp) {
        m_state->drain(primary->address, request.group(), primary->position.term, {});
        return tl::unexpected(
            position ? refuseSwitch("the member's log did not catch up with the primary in time")
                     : position.error());
    }
    auto done = std::make_shared<std::promise<std::pair<std::string, uint64_t>>>();
    auto future = done->get_future();
    m_state->loop.post([state = m_state, request, done] {
        // A VM that doesn't watch the group tracks its failover state only during the switch.
        WatchedGroup added{makeGroupFailover(state->self.name, state->promoter), {}, {}};
        const auto it = state->watched.try_emplace(request.group(), std::move(added)).first;
        const auto current = state->groupViews.view(request.group());
        if (it->second.switchResult != nullptr) {
            done->set_value({});
            return;
        }
        const auto actions =
            startSwitch(it->second.failover, *current, request.member(), steadyNow());
        if (actions.empty()) {
            done->set_value({});
            return;
        }
        it->second.switchResult = done;
        state->apply(request.group(), actions);
    });
    const bool ended = future.wait_for(SwitchTimeout) == std::future_status::ready;
    const auto [newPrimary, term] = ended ? future.get() : std::pair<std::string, uint64_t>{};
    m_state->drain(primary->address, request.group(), primary->position.term, {});
    if (newPrimary != request.member()) {
        return tl::unexpected(refuse(Reason::TargetFailed,
                                     ended ? ExecutionOutcome::NotRun : ExecutionOutcome::Unknown,
                                     "the switch was abandoned: a member refused or did not "
                                     "answer, or another change of primary "
                                     "was in progress"));
    }
    admin::v1::SwitchPrimaryReply reply;
    reply.set_term(term);
    reply.set_gap_ms(static_cast<uint32_t>(toMilliseconds(steadyNow() - startedAt)));
    return reply;
}

void FailoverController::stop()
{
    m_state->stopping = true;
    while (m_state->outstanding > 0) {
        std::this_thread::sleep_for(OutstandingPollInterval);
    }
}

} // namespace gentianplank
