#include "gentianplank/daemon/entry/router.h"

#include "gentianplank/daemon/entry/peer_runner.h"
#include "gentianplank/statement/answer_assembly.h"
#include "gentianplank/statement/retry_budget.h"
#include "gentianplank/statement/route_choice.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <set>

namespace gentianplank {

namespace {

// From the entry VM to a dispatcher, and once more if that VM's directory names another dispatcher.
constexpr uint32_t MaxHops = 2;

// With less time left until the deadline, a lost forward isn't retried.
constexpr Duration MinTimeToRetry = std::chrono::milliseconds(5);

// How long all requests avoid a VM after a forward to it was lost.
constexpr Duration UnreachableBackoff = std::chrono::milliseconds(500);

// Returns a copy of the directory in which the `failed` VMs are unreachable.
VmDirectory excluding(const VmDirectory &directory, const std::set<std::string> &failed)
{
    VmDirectory remaining = directory;
    for (VmInfo &it : remaining.vms) {
        it.reachable = it.reachable && !failed.contains(it.name);
    }
    return remaining;
}

} // namespace

struct Router::State
{
    State(FleetState &publishedFleetState, const GroupViewRegistry &groupRegistry,
          ChannelFactory &channelFactory, VmInfo localVm, StatementRunner &runner)
        : fleetState(publishedFleetState)
        , groups(groupRegistry)
        , channels(channelFactory)
        , self(std::move(localVm))
        , local(runner)
    {}

    // Returns the runner for the address, and creates it at the first call.
    StatementRunner &peerRunner(const std::string &address)
    {
        const std::lock_guard lock(mutex);
        std::unique_ptr<StatementRunner> &runner = peerRunners[address];
        if (runner == nullptr) {
            runner = makePeerRunner(channels.channelTo(address));
        }
        return *runner;
    }

    // Returns the name of the VM that the request is sent to; empty if it runs on this VM.
    std::string dispatcherFor(const StatementRequest &request, bool needsPrimary,
                              const std::set<std::string> &failed)
    {
        const auto view = groups.view(request.group);
        if (view == nullptr || request.hops >= MaxHops) {
            return {};
        }
        const std::string region =
            dispatchRegion(*view, request, needsPrimary, self.place, steadyNow());
        const VmDirectory directory = excluding(*fleetState.vms.get(), unreachableVms(failed));
        const std::string vm = dispatcherOf(directory, request.group, region);
        return vm == self.name ? std::string() : vm;
    }

    // Returns `failed` and the VMs to which another request's forward was lost recently.
    std::set<std::string> unreachableVms(std::set<std::string> failed)
    {
        const std::lock_guard lock(mutex);
        const Instant now = steadyNow();
        std::erase_if(lastLossAt,
                      [&](const auto &it) { return now - it.second > UnreachableBackoff; });
        for (const auto &[vm, at] : lastLossAt) {
            failed.insert(vm);
        }
        return failed;
    }

    void recordUnreachable(const std::string &vm, const Refusal &refusal)
    {
        // An expired deadline doesn't show that the VM is unreachable for other requests.
        if (refusal.reason != Reason::Deadline) {
            const std::lock_guard lock(mutex);
            lastLossAt[vm] = steadyNow();
        }
    }

    void countRequest()
    {
        const std::lock_guard lock(mutex);
        recordRequest(budget);
    }

    bool tryConsumeRetry(const StatementRequest &request)
    {
        const std::lock_guard lock(mutex);
        return request.deadline - steadyNow() > MinTimeToRetry && consumeRetry(budget);
    }

    template <typename Answer>
    using Attempt =
        std::function<tl::expected<Answer, Refusal>(StatementRunner &, const StatementRequest &)>;

    // Runs the request at its dispatcher. After a lost forward, retries it at the next dispatcher
    // if `isRepeatable` returns true and the deadline and the retry budget allow it.
    template <typename Answer>
    tl::expected<Answer, Refusal> route(StatementRequest request, bool needsPrimary,
                                        const Attempt<Answer> &attempt,
                                        const std::function<bool()> &isRepeatable)
    {
        countRequest();
        std::set<std::string> failed;
        while (true) {
            const std::string vm = dispatcherFor(request, needsPrimary, failed);
            StatementRequest forwarded = request;
            ++forwarded.hops;
            if (vm.empty()) {
                return adjustRefusal(attempt(local, forwarded), request, failed);
            }
            forwarded.deadline = forwardDeadline(request.deadline, steadyNow());
            auto answer =
                attempt(peerRunner(findVm(*fleetState.vms.get(), vm)->address), forwarded);
            if (answer || !answer.error().isTransportError) {
                return adjustRefusal(std::move(answer), request, failed);
            }
            failed.insert(vm);
            recordUnreachable(vm, answer.error());
            request.retried = true;
            if (!isRepeatable() || !tryConsumeRetry(request)) {
                return adjustRefusal(std::move(answer), request, failed);
            }
        }
    }

    // Corrects the outcome in a refusal if an earlier forward of the request was lost.
    template <typename Answer>
    static tl::expected<Answer, Refusal> adjustRefusal(tl::expected<Answer, Refusal> answer,
                                                       const StatementRequest &request,
                                                       const std::set<std::string> &failed)
    {
        if (!answer && !failed.empty()) {
            return tl::unexpected(refusalAfterLoss(answer.error(), request));
        }
        return answer;
    }

    tl::expected<StatementAnswer, Refusal> execute(const StatementRequest &request)
    {
        const Attempt<StatementAnswer> attempt = [](StatementRunner &runner,
                                                    const StatementRequest &forwarded) {
            return runner.execute(forwarded);
        };
        return route<StatementAnswer>(request, !request.statement.read_only(), attempt,
                                      [] { return true; });
    }

    FleetState &fleetState;
    const GroupViewRegistry &groups;
    ChannelFactory &channels;
    VmInfo self;
    StatementRunner &local;
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<StatementRunner>> peerRunners;
    RetryBudget budget;
    std::map<std::string, Instant> lastLossAt;
};

namespace {

// A transaction that, when its dispatcher is lost during the commit, queries the commit's outcome
// through another dispatcher.
class RoutedTransaction : public TransactionRun
{
public:
    using OutcomeQuery =
        std::function<tl::expected<StatementAnswer, Refusal>(const StatementRequest &request)>;

    RoutedTransaction(std::unique_ptr<TransactionRun> inner, StatementRequest request,
                      OutcomeQuery outcome)
        : m_inner(std::move(inner))
        , m_request(std::move(request))
        , m_queryOutcome(std::move(outcome))
    {}

    tl::expected<StatementAnswer, Refusal> execute(const Statement &statement,
                                                   Instant deadline) override
    {
        return m_inner->execute(statement, deadline);
    }

    tl::expected<StatementAnswer, Refusal> commit(const CommitRequest &request) override
    {
        auto answer = m_inner->commit(request);
        if (answer || !answer.error().isTransportError) {
            return answer;
        }
        m_request.requestId = request.requestId;
        m_request.statement.Clear();
        m_request.deadline = request.deadline;
        m_request.retried = true;
        m_request.outcomeOnly = true;
        return m_queryOutcome(m_request);
    }

    void rollback() override { m_inner->rollback(); }

private:
    std::unique_ptr<TransactionRun> m_inner;
    StatementRequest m_request;
    OutcomeQuery m_queryOutcome;
};

} // namespace

Router::Router(FleetState &fleetState, const GroupViewRegistry &groups, ChannelFactory &channels,
               VmInfo self, StatementRunner &local)
    : m_state(std::make_shared<State>(fleetState, groups, channels, std::move(self), local))
{}

Router::~Router() = default;

tl::expected<StatementAnswer, Refusal> Router::execute(const StatementRequest &request)
{
    return m_state->execute(request);
}

tl::expected<PulledAnswer, Refusal> Router::pull(const StatementRequest &request,
                                                 const ChunkSink &sink)
{
    AnswerAssembly assembly;
    bool isStopped = false;
    const State::Attempt<PulledAnswer> attempt =
        [&](StatementRunner &runner,
            const StatementRequest &forwarded) -> tl::expected<PulledAnswer, Refusal> {
        beginAttempt(assembly);
        std::optional<AssemblyFault> fault;
        auto answer = runner.pull(forwarded, [&](const common::v1::Chunk &chunk) {
            const auto newChunk = acceptChunk(assembly, chunk);
            if (!newChunk) {
                fault = newChunk.error();
                return false;
            }
            isStopped = *newChunk && !sink(**newChunk);
            return !isStopped;
        });
        if (answer && !verifyEnd(assembly, answer->end)) {
            fault = verifyEnd(assembly, answer->end).error();
        }
        if (fault) {
            return tl::unexpected(
                refuse(Reason::TargetFailed, ExecutionOutcome::NotRun, toString(*fault)));
        }
        return answer;
    };
    return m_state->route<PulledAnswer>(request, false, attempt, [&] { return !isStopped; });
}

tl::expected<std::unique_ptr<TransactionRun>, Refusal>
Router::begin(const StatementRequest &request)
{
    using BegunTransaction = std::unique_ptr<TransactionRun>;
    const State::Attempt<BegunTransaction> attempt = [](StatementRunner &runner,
                                                        const StatementRequest &forwarded) {
        return runner.begin(forwarded);
    };
    auto begun = m_state->route<BegunTransaction>(request, true, attempt, [] { return true; });
    if (!begun) {
        // No part of a transaction takes effect before its commit.
        begun.error().outcome = ExecutionOutcome::NotRun;
        return begun;
    }
    return std::make_unique<RoutedTransaction>(
        std::move(*begun), request,
        [state = m_state](const StatementRequest &query) { return state->execute(query); });
}

} // namespace gentianplank
