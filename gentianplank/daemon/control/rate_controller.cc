#include "gentianplank/daemon/control/rate_controller.h"

#include "gentianplank/daemon/control/rate_messages.h"
#include "gentianplank/proto/vm.grpc.pb.h"

#include <grpcpp/client_context.h>

#include <algorithm>
#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace gentianplank {

namespace {

using vm::v1::LendReply;
using vm::v1::LendRequest;

constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration CallTimeout = std::chrono::milliseconds(240);
constexpr Duration ControlTimeout = std::chrono::milliseconds(200);
constexpr Duration ReleaseTimeout = std::chrono::seconds(2);
constexpr Duration ReleasePollInterval = std::chrono::milliseconds(20);

// A call to a peer. Owns what gRPC accesses until the callback has run.
struct LendCall
{
    grpc::ClientContext context;
    LendRequest request;
    LendReply reply;
    Instant requestSentAt{};
};

// Counts outstanding calls, so that the controller isn't destroyed before their callbacks have run.
class OutstandingCalls
{
public:
    void begin()
    {
        const std::lock_guard lock(m_mutex);
        ++m_outstanding;
    }

    void end()
    {
        const std::lock_guard lock(m_mutex);
        --m_outstanding;
        m_ended.notify_all();
    }

    void waitUntilIdle()
    {
        std::unique_lock lock(m_mutex);
        m_ended.wait(lock, [&] { return m_outstanding == 0; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_ended;
    int m_outstanding = 0;
};

} // namespace

struct RateController::State : std::enable_shared_from_this<RateController::State>
{
    State(ControlLoop &controlLoop, ChannelFactory &factory, FleetState &fleet,
          RateLimiter &rateLimiter, std::string vm)
        : loop(controlLoop)
        , channels(factory)
        , fleetState(fleet)
        , limiter(rateLimiter)
        , self(std::move(vm))
    {}

    bool holdsLease() const { return fleetState.membershipLease.isValid(steadyNow()); }

    void tick();
    void updateMembers(Instant now);
    void updateLimits(Instant now);
    void collectDemands(Instant now);
    void collectOwnerRequests(Instant now);
    void addDemand(const DueSliceRequest &due, Instant now);
    LendRequest &requestTo(const std::string &vm);
    void sendRequests(Instant now);
    void onLendReply(const LendCall &call, bool isOk);
    LendReply handleLend(const LendRequest &request);

    ControlLoop &loop;
    ChannelFactory &channels;
    FleetState &fleetState;
    RateLimiter &limiter;
    std::string self;
    RateOwner rateOwner;
    // The requests of the current tick, by receiving VM.
    std::map<std::string, LendRequest> outgoingRequests;
    std::map<std::string, std::unique_ptr<vm::v1::Peer::Stub>> stubs;
    // The organisations whose lookup at the backup owner is outstanding.
    std::set<std::string> pendingLookups;
    std::atomic<bool> wakeUpPosted{false};
    OutstandingCalls outstandingCalls;
};

void RateController::State::updateMembers(Instant now)
{
    const auto directory = fleetState.vms.get();
    const VmInfo *info = findVm(*directory, self);
    if (info == nullptr || directory->revision == rateOwner.members.revision) {
        return;
    }
    const VmIncarnation holder{self, info->incarnation};
    if (rateOwner.self != holder) {
        rateOwner = makeRateOwner(holder);
        limiter.setIncarnation(holder, now);
    }
    RateMembers members;
    members.revision = directory->revision;
    for (const VmInfo &it : directory->vms) {
        if (!it.leaving) {
            members.vms.push_back(it.name);
        }
    }
    const Duration::rep founded = fleetState.foundedAt;
    if (founded != 0) {
        members.foundedAt = Instant(Duration(founded));
    }
    setMembers(rateOwner, members, now);
}

void RateController::State::updateLimits(Instant now)
{
    const auto configuration = fleetState.configuration.get();
    if (configuration->revision() == 0) {
        return;
    }
    std::map<std::string, RateLimit, std::less<>> limits;
    for (const configuration::v1::Organisation &it : configuration->document().organisations()) {
        limits[it.name()] = configuration->rateOf(it.name());
    }
    limits[std::string(OpenOrganisation)] = configuration->rateOf(OpenOrganisation);
    setLimits(rateOwner, limits, now);
}

LendRequest &RateController::State::requestTo(const std::string &vm)
{
    LendRequest &request = outgoingRequests[vm];
    request.mutable_borrower()->set_vm(self);
    request.mutable_borrower()->set_number(rateOwner.self.incarnation);
    return request;
}

void RateController::State::addDemand(const DueSliceRequest &due, Instant now)
{
    const RateOwnerNames owners = rateOwnersOf(rateOwner.members, due.organisation);
    const bool toBackup = due.toBackup && !owners.backup.empty();
    const std::string &to = toBackup ? owners.backup : owners.primary;
    if (to.empty() || (to == self && !holdsLease())) {
        limiter.onRequestFailed(due.organisation, due.request.sequence);
    } else if (to == self) {
        limiter.onReply(due.organisation, onRequest(rateOwner, due.organisation, due.request, now),
                        now);
    } else {
        toWire(due.organisation, due.request, requestTo(to).add_demands());
    }
}

void RateController::State::collectDemands(Instant now)
{
    for (const DueSliceRequest &it : limiter.dueRequests(now)) {
        addDemand(it, now);
    }
}

void RateController::State::collectOwnerRequests(Instant now)
{
    recordLease(rateOwner, now);
    recordListAccepted(rateOwner, fleetState.acceptedMembers, now);
    for (const std::string &it : dueLookups(rateOwner, now)) {
        if (pendingLookups.insert(it).second) {
            requestTo(rateOwnersOf(rateOwner.members, it).backup).add_lookups(it);
        }
    }
    for (const PendingHandover &it : dueHandovers(rateOwner)) {
        toWire(it.handover, requestTo(it.to).add_handovers());
    }
}

void RateController::State::tick()
{
    wakeUpPosted = false;
    const Instant now = steadyNow();
    collectDemands(now);
    if (holdsLease()) {
        collectOwnerRequests(now);
    }
    sendRequests(now);
}

void RateController::State::sendRequests(Instant now)
{
    const auto directory = fleetState.vms.get();
    for (auto &[vm, request] : std::exchange(outgoingRequests, {})) {
        auto call = std::make_shared<LendCall>();
        call->request = std::move(request);
        call->requestSentAt = now;
        const VmInfo *info = findVm(*directory, vm);
        if (info == nullptr) {
            onLendReply(*call, false);
            continue;
        }
        auto &stub = stubs[info->address];
        if (stub == nullptr) {
            stub = vm::v1::Peer::NewStub(channels.channelTo(info->address));
        }
        call->context.set_deadline(std::chrono::system_clock::now() + CallTimeout);
        outstandingCalls.begin();
        stub->async()->Lend(&call->context, &call->request, &call->reply,
                            [state = shared_from_this(), call](const grpc::Status &status) {
                                state->loop.post([state, call, isOk = status.ok()] {
                                    state->onLendReply(*call, isOk);
                                });
                                state->outstandingCalls.end();
                            });
    }
}

void RateController::State::onLendReply(const LendCall &call, bool isOk)
{
    const Instant now = steadyNow();
    for (const vm::v1::RateSlice &it : call.reply.slices()) {
        limiter.onReply(it.organisation(), fromWire(it), now);
    }
    // Marks the demands that got no slice above as failed. Has no effect on the others, as they are
    // no longer pending.
    for (const vm::v1::RateDemand &it : call.request.demands()) {
        limiter.onRequestFailed(it.organisation(), it.sequence());
    }
    for (const std::string &it : call.request.lookups()) {
        pendingLookups.erase(it);
    }
    for (const vm::v1::RateLookup &it : call.reply.lookups()) {
        std::vector<SliceRecord> records;
        for (const vm::v1::RateRecord &record : it.records()) {
            records.push_back(fromWire(record));
        }
        if (holdsLease()) {
            onLookup(rateOwner, it.organisation(), records, call.requestSentAt, now);
        }
    }
    const std::set<std::string> accepted(call.reply.accepted().begin(),
                                         call.reply.accepted().end());
    for (const vm::v1::RateHandover &it : call.request.handovers()) {
        const auto outcome = !isOk                                  ? HandoverOutcome::Unanswered
                             : accepted.contains(it.organisation()) ? HandoverOutcome::Accepted
                                                                    : HandoverOutcome::Refused;
        onHandoverAnswer(rateOwner, it.organisation(), outcome);
    }
}

LendReply RateController::State::handleLend(const LendRequest &request)
{
    LendReply reply;
    const Instant now = steadyNow();
    for (const std::string &it : request.lookups()) {
        vm::v1::RateLookup *lookup = reply.add_lookups();
        lookup->set_organisation(it);
        for (const SliceRecord &record : liveSlices(rateOwner, it, now)) {
            toWire(record, lookup->add_records());
        }
    }
    if (!holdsLease()) {
        return reply;
    }
    for (const vm::v1::RateHandover &it : request.handovers()) {
        if (onHandover(rateOwner, fromWire(it), now)) {
            reply.add_accepted(it.organisation());
        }
    }
    for (const vm::v1::RateDemand &it : request.demands()) {
        const SliceRequest demand = fromWire(request.borrower(), it);
        toWire(it.organisation(), onRequest(rateOwner, it.organisation(), demand, now),
               reply.add_slices());
    }
    return reply;
}

RateController::RateController(ControlLoop &loop, ChannelFactory &channels, FleetState &fleetState,
                               RateLimiter &limiter, std::string self)
    : m_state(std::make_shared<State>(loop, channels, fleetState, limiter, std::move(self)))
{}

RateController::~RateController()
{
    m_state->outstandingCalls.waitUntilIdle();
}

void RateController::start()
{
    m_state->limiter.setWakeUp([state = m_state.get()] {
        if (!state->wakeUpPosted.exchange(true)) {
            state->loop.post([state] { state->tick(); });
        }
    });
    m_state->loop.every(TickInterval, [state = m_state] { state->tick(); });
}

void RateController::update(Instant now)
{
    m_state->updateMembers(now);
    m_state->updateLimits(now);
}

vm::v1::LendReply RateController::lend(const vm::v1::LendRequest &request)
{
    // The control thread may run the task after this call has timed out. The reply is then dropped,
    // which is the same to the peer as a lost message.
    auto replyPromise = std::make_shared<std::promise<LendReply>>();
    auto result = replyPromise->get_future();
    m_state->loop.post([state = m_state, replyPromise, request] {
        replyPromise->set_value(state->handleLend(request));
    });
    if (result.wait_for(ControlTimeout) != std::future_status::ready) {
        return {};
    }
    return result.get();
}

void RateController::release()
{
    const Instant until = steadyNow() + ReleaseTimeout;
    m_state->loop.post([state = m_state] {
        const Instant now = steadyNow();
        for (const DueSliceRequest &it : state->limiter.release(now)) {
            state->addDemand(it, now);
        }
        state->sendRequests(now);
    });
    bool done = false;
    while (!done && steadyNow() < until) {
        auto checkPromise = std::make_shared<std::promise<bool>>();
        auto result = checkPromise->get_future();
        m_state->loop.post([state = m_state, checkPromise] {
            const auto &vms = state->rateOwner.members.vms;
            const bool isListed = std::find(vms.begin(), vms.end(), state->self) != vms.end();
            checkPromise->set_value(!isListed && state->rateOwner.handovers.empty());
        });
        done = result.wait_for(ControlTimeout) == std::future_status::ready && result.get();
        std::this_thread::sleep_for(ReleasePollInterval);
    }
}

} // namespace gentianplank
