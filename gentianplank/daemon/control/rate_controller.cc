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
constexpr Duration AnswerTimeout = std::chrono::milliseconds(200);
constexpr Duration ReleaseTimeout = std::chrono::seconds(2);
constexpr Duration ReleasePause = std::chrono::milliseconds(20);

// One call to a peer; owns what gRPC writes to until the callback has run.
struct LendCall
{
    grpc::ClientContext context;
    LendRequest request;
    LendReply reply;
    Instant askedAt{};
};

// Counts the calls under way, so that their callbacks find their objects.
class CallCounter
{
public:
    void begin()
    {
        const std::lock_guard lock(m_mutex);
        ++m_running;
    }

    void end()
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_changed.notify_all();
    }

    void waitForNone()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_running == 0; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_running = 0;
};

} // namespace

struct RateController::State : std::enable_shared_from_this<RateController::State>
{
    State(ControlLoop &controlLoop, ChannelFactory &factory, FleetBoards &fleet,
          RateLimiter &rateLimiter, std::string vm)
        : loop(controlLoop)
        , channels(factory)
        , boards(fleet)
        , limiter(rateLimiter)
        , self(std::move(vm))
    {}

    bool isSure() const { return boards.standing.holds(steadyNow()); }

    void tick();
    void takeMembers(Instant now);
    void takeLimits(Instant now);
    void collectDemands(Instant now);
    void collectRoles(Instant now);
    void addDemand(const DueSliceRequest &due, Instant now);
    LendRequest &requestTo(const std::string &vm);
    void sendAll(Instant now);
    void onAnswer(const LendCall &call, bool isOk);
    LendReply answer(const LendRequest &request);

    ControlLoop &loop;
    ChannelFactory &channels;
    FleetBoards &boards;
    RateLimiter &limiter;
    std::string self;
    RateOwner rateOwner;
    // The requests of this round by receiver.
    std::map<std::string, LendRequest> outgoing;
    std::map<std::string, std::unique_ptr<vm::v1::Peer::Stub>> stubs;
    std::set<std::string> lookups;
    std::atomic<bool> wakeUpPosted{false};
    CallCounter calls;
};

void RateController::State::takeMembers(Instant now)
{
    const auto directory = boards.vms.get();
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
    const Duration::rep founded = boards.foundedAt;
    if (founded != 0) {
        members.foundedAt = Instant(Duration(founded));
    }
    setMembers(rateOwner, members, now);
}

void RateController::State::takeLimits(Instant now)
{
    const auto configuration = boards.configuration.get();
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
    LendRequest &request = outgoing[vm];
    request.mutable_borrower()->set_vm(self);
    request.mutable_borrower()->set_number(rateOwner.self.incarnation);
    return request;
}

void RateController::State::addDemand(const DueSliceRequest &due, Instant now)
{
    const RateOwnerNames owners = rateOwnersOf(rateOwner.members, due.organisation);
    const bool toBackup = due.toBackup && !owners.backup.empty();
    const std::string &to = toBackup ? owners.backup : owners.primary;
    if (to.empty() || (to == self && !isSure())) {
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

void RateController::State::collectRoles(Instant now)
{
    recordLease(rateOwner, now);
    recordListAccepted(rateOwner, boards.acceptedMembers, now);
    for (const std::string &it : dueLookups(rateOwner, now)) {
        if (lookups.insert(it).second) {
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
    if (isSure()) {
        collectRoles(now);
    }
    sendAll(now);
}

void RateController::State::sendAll(Instant now)
{
    const auto directory = boards.vms.get();
    for (auto &[vm, request] : std::exchange(outgoing, {})) {
        auto call = std::make_shared<LendCall>();
        call->request = std::move(request);
        call->askedAt = now;
        const VmInfo *info = findVm(*directory, vm);
        if (info == nullptr) {
            onAnswer(*call, false);
            continue;
        }
        auto &stub = stubs[info->address];
        if (stub == nullptr) {
            stub = vm::v1::Peer::NewStub(channels.channelTo(info->address));
        }
        call->context.set_deadline(std::chrono::system_clock::now() + CallTimeout);
        calls.begin();
        stub->async()->Lend(&call->context, &call->request, &call->reply,
                            [state = shared_from_this(), call](const grpc::Status &status) {
                                state->loop.post([state, call, isOk = status.ok()] {
                                    state->onAnswer(*call, isOk);
                                });
                                state->calls.end();
                            });
    }
}

void RateController::State::onAnswer(const LendCall &call, bool isOk)
{
    const Instant now = steadyNow();
    for (const vm::v1::RateSlice &it : call.reply.slices()) {
        limiter.onReply(it.organisation(), fromWire(it), now);
    }
    for (const vm::v1::RateDemand &it : call.request.demands()) {
        limiter.onRequestFailed(it.organisation(), it.sequence());
    }
    for (const std::string &it : call.request.lookups()) {
        lookups.erase(it);
    }
    for (const vm::v1::RateLookup &it : call.reply.lookups()) {
        std::vector<SliceRecord> records;
        for (const vm::v1::RateRecord &record : it.records()) {
            records.push_back(fromWire(record));
        }
        if (isSure()) {
            onLookup(rateOwner, it.organisation(), records, call.askedAt, now);
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

LendReply RateController::State::answer(const LendRequest &request)
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
    if (!isSure()) {
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

RateController::RateController(ControlLoop &loop, ChannelFactory &channels, FleetBoards &boards,
                               RateLimiter &limiter, std::string self)
    : m_state(std::make_shared<State>(loop, channels, boards, limiter, std::move(self)))
{}

RateController::~RateController()
{
    m_state->calls.waitForNone();
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
    m_state->takeMembers(now);
    m_state->takeLimits(now);
}

vm::v1::LendReply RateController::lend(const vm::v1::LendRequest &request)
{
    // The control thread may run the task after this call gave up; its answer is then dropped, as
    // if it had been lost on the way.
    auto answered = std::make_shared<std::promise<LendReply>>();
    auto result = answered->get_future();
    m_state->loop.post(
        [state = m_state, answered, request] { answered->set_value(state->answer(request)); });
    if (result.wait_for(AnswerTimeout) != std::future_status::ready) {
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
        state->sendAll(now);
    });
    bool done = false;
    while (!done && steadyNow() < until) {
        auto checked = std::make_shared<std::promise<bool>>();
        auto result = checked->get_future();
        m_state->loop.post([state = m_state, checked] {
            const auto &vms = state->rateOwner.members.vms;
            const bool isListed = std::find(vms.begin(), vms.end(), state->self) != vms.end();
            checked->set_value(!isListed && state->rateOwner.handovers.empty());
        });
        done = result.wait_for(AnswerTimeout) == std::future_status::ready && result.get();
        std::this_thread::sleep_for(ReleasePause);
    }
}

} // namespace gentianplank
