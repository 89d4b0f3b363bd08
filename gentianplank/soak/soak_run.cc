#include "gentianplank/soak/soak_run.h"

#include "gentianplank/base/testing/reserved_address.h"
#include "gentianplank/platform/line_codec.h"
#include "gentianplank/soak/entry_process.h"
#include "gentianplank/soak/line_client.h"
#include "gentianplank/standin/http_table_store.h"
#include "gentianplank/vm/fleet_records.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iterator>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace gentianplank {

namespace {

using namespace std::chrono_literals;

constexpr size_t Members = 3;
constexpr char GroupName[] = "g";
// The statements' time limit in the routes is 1.5 s; an answer that takes longer than this is lost.
constexpr Duration AnswerTimeout = 4s;
constexpr Duration ConnectTimeout = 1s;
constexpr Duration StartupTimeout = 20s;
constexpr int GraceSeconds = 3;
// After this a withdrawn key has to be refused: the settings' limit.
constexpr Duration RevocationLimit = 3s;
// A planned stop is judged only if no other fault was under way this long before it.
constexpr Duration CalmBeforeStop = 6s;
// A request that crosses the close of an idle session is not counted as cut off.
constexpr Duration LossSlack = 200ms;
constexpr Duration TickInterval = 20ms;
constexpr Duration RestartDelay = 200ms;
constexpr uint64_t OperationsPerSession = 40;
constexpr Duration Pause = 5ms;

class Run
{
public:
    Run(const SoakOptions &options, std::vector<PlannedFault> schedule)
        : m_options(options)
        , m_schedule(std::move(schedule))
        , m_group(GroupName, Members)
    {
        m_history.revocationLimit = RevocationLimit;
    }

    SoakResult execute();

private:
    void startVms();
    void publishConfiguration(const std::string &holder);
    void publishMembers();
    void awaitService(const std::string &address);
    void applyFaults();
    void begin(const PlannedFault &fault);
    void end(const PlannedFault &fault);
    void call(size_t caller);
    CallerOperation operate(LineClient &client, size_t caller, uint64_t number, size_t vm);
    void runTransaction(LineClient &client, CallerOperation &operation, const std::string &id);
    static OperationEnd endOf(const LineAnswer &answer);
    bool isPlannedStop(size_t vm, Instant now) const;

    SoakOptions m_options;
    std::vector<PlannedFault> m_schedule;
    HttpTableStore m_store;
    LineProtocolGroup m_group;
    std::vector<std::unique_ptr<EntryProcess>> m_vms;
    std::atomic<size_t> m_primary{0};
    std::atomic<size_t> m_crashed{Members};
    std::atomic<bool> m_isEnding{false};
    int m_revision = 0;
    Instant m_startedAt{};
    std::mutex m_mutex;
    History m_history;
};

void Run::publishConfiguration(const std::string &holder)
{
    std::vector<DocumentOrganisation> organisations;
    for (size_t i = 0; i < m_options.callers; ++i) {
        organisations.push_back({"t" + std::to_string(i), {"key" + std::to_string(i)}});
        if (organisations.back().name == holder) {
            organisations.back().keys.emplace_back("moving");
        }
    }
    const Instant from = steadyNow();
    m_store.put("op", "config", configurationOf(++m_revision, organisations));
    const std::lock_guard lock(m_mutex);
    if (!m_history.movingKey.empty()) {
        m_history.movingKey.back().until = steadyNow();
    }
    m_history.movingKey.push_back({holder, from});
}

void Run::publishMembers()
{
    for (size_t i = 0; i < Members; ++i) {
        if (i != m_crashed) {
            m_store.put("servers", GroupName + ("-" + std::to_string(i)),
                        m_group.discoveryDocument(i));
        }
    }
}

void Run::startVms()
{
    m_store.onPromotion([this](const std::string &, const std::string &member) {
        const auto i = static_cast<size_t>(member.back() - '0');
        if (i == m_crashed) {
            return 409U;
        }
        m_group.promote(i);
        m_primary = i;
        publishMembers();
        return 200U;
    });
    publishConfiguration("t0");
    publishMembers();
    for (size_t i = 0; i < m_options.vms; ++i) {
        EntryProcessOptions options;
        options.program = m_options.program;
        options.folder = m_options.folder;
        options.settings = {.name = "vm-" + std::to_string(i),
                            .zone = "a",
                            .region = "r",
                            .callerAddress = reserveAddress(),
                            .readyAddress = reserveAddress(),
                            .peerPort = reservePort(),
                            .storeAddress = m_store.address(),
                            .graceSeconds = GraceSeconds,
                            .revocationMs = static_cast<int>(toMilliseconds(RevocationLimit))};
        // The store lists the VM from an earlier process, so that its rate shares are free to use.
        const std::string &name = options.settings.name;
        m_store.put(FleetTable, "vm/" + name,
                    encodeVmRecord({name, "127.0.0.1:1", {"a", "r"}, 1, false}));
        m_vms.push_back(std::make_unique<EntryProcess>(options));
    }
    for (const auto &vm : m_vms) {
        vm->start();
    }
    for (const auto &vm : m_vms) {
        awaitService(vm->options().settings.callerAddress);
    }
}

void Run::awaitService(const std::string &address)
{
    const Instant until = steadyNow() + StartupTimeout;
    while (steadyNow() < until) {
        LineClient client;
        if (client.connect(address, ConnectTimeout) &&
            client.request("START main key0", AnswerTimeout).isComplete &&
            endOf(client.request("QUERY warm WRITE warm 1", AnswerTimeout)) == OperationEnd::Done) {
            return;
        }
        std::this_thread::sleep_for(RestartDelay);
    }
    throw std::runtime_error("no service at " + address);
}

void Run::begin(const PlannedFault &fault)
{
    EntryProcess &vm = *m_vms[fault.vm];
    switch (fault.kind) {
    case FaultKind::KillVm:
        vm.kill();
        break;
    case FaultKind::PauseVm:
        vm.signal(SIGSTOP);
        break;
    case FaultKind::StopVm:
        vm.signal(SIGTERM);
        break;
    case FaultKind::ReloadVm:
        vm.signal(SIGHUP);
        break;
    case FaultKind::StoreBusy:
        m_store.setFault(HttpTableStore::Fault::Busy);
        break;
    case FaultKind::StoreLosesAnswers:
        m_store.setFault(HttpTableStore::Fault::LostAnswers);
        break;
    case FaultKind::StoreRejectsTransactions:
        m_store.setFault(HttpTableStore::Fault::RejectedTransactions);
        break;
    case FaultKind::StoreForgetsHistory:
        m_store.dropHistory();
        break;
    case FaultKind::CrashPrimary:
        if (m_crashed == Members) {
            m_crashed = m_primary.load();
            m_group.crash(m_crashed);
        }
        break;
    case FaultKind::LoseAnswer:
        m_group.loseNextAnswer();
        break;
    case FaultKind::MoveKey:
        publishConfiguration(m_history.movingKey.back().organisation == "t1" ? "t2" : "t1");
        break;
    case FaultKind::WithdrawKey:
        publishConfiguration("");
        break;
    }
}

void Run::end(const PlannedFault &fault)
{
    switch (fault.kind) {
    case FaultKind::PauseVm:
        m_vms[fault.vm]->signal(SIGCONT);
        break;
    case FaultKind::StoreBusy:
    case FaultKind::StoreLosesAnswers:
    case FaultKind::StoreRejectsTransactions:
        m_store.setFault(HttpTableStore::Fault::None);
        break;
    case FaultKind::CrashPrimary:
        if (m_crashed != Members) {
            const size_t member = m_crashed.exchange(Members);
            m_group.restart(member);
            publishMembers();
        }
        break;
    case FaultKind::WithdrawKey:
        publishConfiguration("t0");
        break;
    default:
        break;
    }
}

// Begins and ends the faults that are due, and starts processes that have ended.
void Run::applyFaults()
{
    std::vector<PlannedFault> active;
    size_t next = 0;
    while (steadyNow() - m_startedAt < m_options.length) {
        const Duration now = steadyNow() - m_startedAt;
        while (next < m_schedule.size() && m_schedule[next].at <= now) {
            begin(m_schedule[next]);
            active.push_back(m_schedule[next++]);
        }
        std::erase_if(active, [&](const PlannedFault &it) {
            const bool isOver = now >= it.at + it.length;
            if (isOver) {
                end(it);
            }
            return isOver;
        });
        for (size_t i = 0; i < m_vms.size(); ++i) {
            const bool isHeldDown =
                std::any_of(active.begin(), active.end(), [&](const PlannedFault &it) {
                    return it.kind == FaultKind::KillVm && it.vm == i;
                });
            if (!isHeldDown && !m_vms[i]->isRunning()) {
                m_vms[i]->start();
            }
        }
        std::this_thread::sleep_for(TickInterval);
    }
    for (const PlannedFault &it : active) {
        end(it);
    }
}

bool Run::isPlannedStop(size_t vm, Instant now) const
{
    const Duration at = now - m_startedAt;
    bool isStopping = false;
    for (const PlannedFault &it : m_schedule) {
        const bool isNear =
            it.at - CalmBeforeStop <= at && at <= it.at + it.length + CalmBeforeStop;
        if (it.kind == FaultKind::StopVm && it.vm == vm && it.at <= at) {
            isStopping = isStopping || at <= it.at + it.length;
        } else if (isNear && it.kind != FaultKind::ReloadVm) {
            return false;
        }
    }
    return isStopping;
}

OperationEnd Run::endOf(const LineAnswer &answer)
{
    if (!answer.isComplete) {
        return answer.isCut ? OperationEnd::Cut : OperationEnd::Unknown;
    }
    const size_t n = answer.lines.size();
    const auto last = platform::decodeMemberLine(answer.lines[n < 2 ? 0 : n - 2]);
    if (last.kind == platform::MemberLine::Kind::Done) {
        return OperationEnd::Done;
    }
    const bool isPromise =
        last.kind == platform::MemberLine::Kind::Error && guaranteesNoEffect(last.code);
    return isPromise ? OperationEnd::Refused : OperationEnd::Unknown;
}

void Run::runTransaction(LineClient &client, CallerOperation &operation, const std::string &id)
{
    operation.isTransaction = true;
    operation.statements = {id + "w", id + "r", id + "c"};
    client.request("QUERY " + id + "b BEGIN", AnswerTimeout);
    const auto write = client.request(
        "QUERY " + id + "w WRITE " + operation.item + " " + operation.written, AnswerTimeout);
    if (endOf(write) != OperationEnd::Done) {
        // Nothing is kept without a commit.
        operation.end =
            endOf(write) == OperationEnd::Cut ? OperationEnd::Cut : OperationEnd::Refused;
        client.close();
        return;
    }
    client.request("QUERY " + id + "r READ " + operation.item, AnswerTimeout);
    operation.end = endOf(client.request("QUERY " + id + "c COMMIT", AnswerTimeout));
}

CallerOperation Run::operate(LineClient &client, size_t caller, uint64_t number, size_t vm)
{
    const std::string id = "c" + std::to_string(caller) + "n" + std::to_string(number);
    CallerOperation operation;
    operation.statements = {id};
    operation.item = "item" + std::to_string(caller);
    operation.vm = vm;
    operation.sentAt = steadyNow();
    const bool isMoving = caller == 0;
    operation.organisation = isMoving ? "" : "t" + std::to_string(caller);
    if (isMoving) {
        const std::lock_guard lock(m_mutex);
        // The first period is not a withdrawal.
        const auto current = std::prev(m_history.movingKey.end());
        operation.isAfterWithdrawal =
            current->organisation.empty() &&
            operation.sentAt > std::prev(current)->until + RevocationLimit;
    }
    if (number % 3 == 0) {
        const auto answer =
            client.request("QUERY " + id + " READ " + operation.item, AnswerTimeout);
        operation.end = endOf(answer);
        const bool hasRow = answer.isComplete && answer.lines[0].starts_with("ROW ");
        operation.read = hasRow ? answer.lines[0].substr(4) : "";
    } else {
        operation.written = id;
        if (number % 3 == 1) {
            operation.end = endOf(client.request(
                "QUERY " + id + " WRITE " + operation.item + " " + id, AnswerTimeout));
        } else {
            runTransaction(client, operation, id);
        }
    }
    operation.endedAt = steadyNow();
    operation.isDuringPlannedStop =
        isPlannedStop(vm, operation.sentAt) && operation.endedAt - operation.sentAt > LossSlack;
    return operation;
}

// One caller: sessions of some operations each, on one VM after another.
void Run::call(size_t caller)
{
    const std::string key = caller == 0 ? "moving" : "key" + std::to_string(caller);
    uint64_t number = 0;
    for (size_t vm = caller; !m_isEnding; ++vm) {
        const size_t i = vm % m_vms.size();
        LineClient client;
        // Session values and positions are of one session, so a new one starts by writing.
        number += 3 - number % 3;
        if (!client.connect(m_vms[i]->options().settings.callerAddress, ConnectTimeout) ||
            !client.request("START own " + key, AnswerTimeout).isComplete) {
            std::this_thread::sleep_for(10 * Pause);
            continue;
        }
        bool hasWritten = false;
        for (uint64_t n = 0; n < OperationsPerSession && client.isConnected() && !m_isEnding; ++n) {
            ++number;
            if (number % 3 == 0 && !hasWritten) {
                continue;
            }
            CallerOperation operation = operate(client, caller, number, i);
            hasWritten = hasWritten || (operation.end == OperationEnd::Done);
            {
                const std::lock_guard lock(m_mutex);
                m_history.operations.push_back(std::move(operation));
            }
            std::this_thread::sleep_for(Pause);
        }
    }
}

SoakResult Run::execute()
{
    startVms();
    m_startedAt = steadyNow();
    std::vector<std::thread> callers;
    for (size_t i = 0; i < m_options.callers; ++i) {
        callers.emplace_back([this, i] { call(i); });
    }
    applyFaults();
    m_isEnding = true;
    for (std::thread &it : callers) {
        it.join();
    }
    SoakResult result;
    m_history.runs = m_group.runs();
    m_history.commits = m_group.commits();
    std::erase_if(m_history.commits, [](const auto &it) { return it.item == "warm"; });
    for (const CallerOperation &it : m_history.operations) {
        result.served += it.end == OperationEnd::Done ? 1 : 0;
        result.refused += it.end == OperationEnd::Refused ? 1 : 0;
    }
    for (const auto &vm : m_vms) {
        if (vm->hasFailed()) {
            result.failedVms.push_back(vm->options().settings.name);
        }
    }
    result.violations = check(m_history);
    result.history = std::move(m_history);
    return result;
}

} // namespace

SoakResult runSoak(const SoakOptions &options, const std::vector<PlannedFault> &schedule)
{
    return Run(options, schedule).execute();
}

} // namespace gentianplank
