#include "gentianplank/standin/member_service.h"

#include "gentianplank/base/answer_digest.h"
#include "gentianplank/base/time.h"
#include "gentianplank/proto/target.grpc.pb.h"
#include "gentianplank/standin/member_state.h"

#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace gentianplank {

namespace {

using target::v1::MemberReply;
using target::v1::MemberRequest;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds ReplicationInterval{1};
constexpr std::chrono::milliseconds IsolationPollInterval{5};
constexpr size_t RowsPerChunk = 100;
constexpr size_t MaxRecordedRequests = 10000;

// The term and the promoter of the first member of a group, which starts as its primary.
constexpr uint64_t InitialTerm = 1;
constexpr std::string_view InitialPromoter = "creation";

// The open transaction of one connection. Its operations are applied to the ledger on commit.
struct OpenTransaction
{
    std::vector<LedgerOperation> operations;
    // Values of the keys that the transaction wrote, visible to its own reads.
    std::map<std::string, std::string, std::less<>> overlay;
};

// One member: its database state, simulated faults and load. `mutex` guards all fields.
struct MemberNode
{
    mutable std::mutex mutex;
    std::condition_variable changed;
    MemberState state;
    standin::v1::MemberFault fault;
    uint32_t running = 0;
    uint32_t connections = 0;
    uint32_t openTransactions = 0;
    // When a replica last had contact with its primary.
    Clock::time_point lastPrimaryContact = Clock::now();
    // Until when a primary rejects new writes.
    Clock::time_point drainedUntil{};
    bool stopping = false;
    std::deque<std::string> received;
};

bool isIsolatedFromVms(const MemberNode &node)
{
    return node.fault.isolated() || node.fault.isolated_from_vms();
}

bool isIsolatedFromMembers(const MemberNode &node)
{
    return node.fault.isolated() || node.fault.isolated_from_members();
}

common::v1::Row makeRow(const std::string &key, const std::string &value)
{
    common::v1::Row row;
    row.add_values(key);
    row.add_values(value);
    return row;
}

class MemberService : public target::v1::Member::Service
{
public:
    MemberService(const GroupOptions &options, MemberNode &node)
        : m_options(options)
        , m_node(node)
    {}

    grpc::Status Watch(grpc::ServerContext *context, const target::v1::WatchRequest *request,
                       grpc::ServerWriter<target::v1::MemberStatus> *writer) override
    {
        const std::chrono::milliseconds interval(std::max(1U, request->interval_ms()));
        std::optional<LogPosition> sent;
        uint64_t sentFencedTerm = 0;
        while (!context->IsCancelled()) {
            target::v1::MemberStatus status;
            {
                std::unique_lock lock(m_node.mutex);
                m_node.changed.wait_for(lock, interval, [&] {
                    return m_node.stopping || (!isIsolatedFromVms(m_node) &&
                                               (sent != positionOf(m_node.state) ||
                                                sentFencedTerm != m_node.state.fencedTerm));
                });
                if (m_node.stopping) {
                    break;
                }
                if (isIsolatedFromVms(m_node)) {
                    continue;
                }
                status = statusLocked();
                sent = positionOf(m_node.state);
                sentFencedTerm = m_node.state.fencedTerm;
            }
            if (!writer->Write(status)) {
                break;
            }
        }
        return grpc::Status::OK;
    }

    grpc::Status Fence(grpc::ServerContext *context, const target::v1::FenceRequest *request,
                       target::v1::MemberStatus *status) override
    {
        recordRequest("fence " + request->ShortDebugString());
        if (!waitWhileIsolated(*context)) {
            return grpc::Status::CANCELLED;
        }
        const std::lock_guard lock(m_node.mutex);
        const bool granted = !request->promoter().empty() &&
                             fence(m_node.state, request->term(), request->promoter());
        m_node.changed.notify_all();
        if (!granted) {
            return {grpc::StatusCode::FAILED_PRECONDITION,
                    "the term is stale or not granted to this promoter"};
        }
        *status = statusLocked();
        return grpc::Status::OK;
    }

    grpc::Status Promote(grpc::ServerContext *context, const target::v1::PromoteRequest *request,
                         target::v1::MemberStatus *status) override
    {
        recordRequest("promote " + request->ShortDebugString());
        if (!waitWhileIsolated(*context)) {
            return grpc::Status::CANCELLED;
        }
        const std::lock_guard lock(m_node.mutex);
        if (request->promoter().empty() ||
            !promote(m_node.state, request->term(), request->promoter())) {
            return {grpc::StatusCode::FAILED_PRECONDITION,
                    "the term is stale or not granted to this promoter"};
        }
        m_node.drainedUntil = {};
        *status = statusLocked();
        m_node.changed.notify_all();
        return grpc::Status::OK;
    }

    grpc::Status Drain(grpc::ServerContext *context, const target::v1::DrainRequest *request,
                       target::v1::MemberStatus *status) override
    {
        recordRequest("drain " + request->ShortDebugString());
        if (!waitWhileIsolated(*context)) {
            return grpc::Status::CANCELLED;
        }
        const std::lock_guard lock(m_node.mutex);
        if (refusalOf(m_node.state, request->term()) != target::v1::FAILURE_KIND_UNSPECIFIED) {
            return {grpc::StatusCode::FAILED_PRECONDITION,
                    "the member is not the primary of the requested term"};
        }
        m_node.drainedUntil = Clock::now() + std::chrono::milliseconds(request->lasts_ms());
        *status = statusLocked();
        return grpc::Status::OK;
    }

    grpc::Status Connect(grpc::ServerContext *context,
                         grpc::ServerReaderWriter<MemberReply, MemberRequest> *stream) override
    {
        {
            const std::lock_guard lock(m_node.mutex);
            if (m_node.connections >= m_options.connections) {
                return {grpc::StatusCode::RESOURCE_EXHAUSTED,
                        "the member has reached its connection limit"};
            }
            ++m_node.connections;
        }
        std::this_thread::sleep_for(m_options.connectTime);
        std::optional<OpenTransaction> transaction;
        serve(*context, *stream, transaction);
        const std::lock_guard lock(m_node.mutex);
        m_node.openTransactions -= transaction.has_value() ? 1 : 0;
        --m_node.connections;
        return grpc::Status::OK;
    }

private:
    using ServerStream = grpc::ServerReaderWriter<MemberReply, MemberRequest>;

    void serve(grpc::ServerContext &context, ServerStream &stream,
               std::optional<OpenTransaction> &transaction)
    {
        stream.SendInitialMetadata();
        MemberRequest request;
        while (stream.Read(&request)) {
            recordRequest(formatMetadata(context) + request.ShortDebugString());
            if (!waitWhileIsolated(context)) {
                return;
            }
            if (request.has_execute() && request.execute().chunked()) {
                if (!streamAnswer(request, stream)) {
                    return;
                }
                continue;
            }
            const MemberReply reply = answer(request, transaction);
            if (consumeLostAnswer() || !waitWhileIsolated(context) || !stream.Write(reply)) {
                return;
            }
        }
    }

    MemberReply answer(const MemberRequest &request, std::optional<OpenTransaction> &transaction)
    {
        acquireSlot();
        const bool runsStatement = request.has_execute() || request.has_commit();
        if (runsStatement) {
            std::this_thread::sleep_for(m_options.statementTime);
        }
        MemberReply reply;
        reply.set_attempt(request.attempt());
        {
            const std::lock_guard lock(m_node.mutex);
            m_node.openTransactions -= transaction.has_value() ? 1 : 0;
            answerLocked(request, transaction, reply);
            m_node.openTransactions += transaction.has_value() ? 1 : 0;
            m_node.changed.notify_all();
        }
        releaseSlot();
        return reply;
    }

    void answerLocked(const MemberRequest &request, std::optional<OpenTransaction> &transaction,
                      MemberReply &reply)
    {
        const bool isRead = request.has_execute() && request.execute().statement().read_only();
        const bool needsPrimary = request.has_begin() || request.has_commit() ||
                                  request.has_resolve() || (request.has_execute() && !isRead);
        const target::v1::FailureKind refusal = refusalOf(m_node.state, request.term());
        if (needsPrimary && refusal != target::v1::FAILURE_KIND_UNSPECIFIED) {
            transaction.reset();
            setFailure(reply, refusal, "the member is not the primary of the requested term");
            return;
        }
        if (needsPrimary && !transaction && Clock::now() < m_node.drainedUntil) {
            setFailure(reply, target::v1::FAILURE_KIND_BUSY,
                       "the primary is draining for a switch and rejects new writes");
            return;
        }
        switch (request.step_case()) {
        case MemberRequest::kBegin:
            transaction.emplace();
            setDone(reply, {});
            break;
        case MemberRequest::kExecute:
            executeLocked(request.execute(), transaction, reply);
            break;
        case MemberRequest::kCommit:
            commitLocked(request.commit().request_id(),
                         transaction ? transaction->operations : std::vector<LedgerOperation>{},
                         reply);
            transaction.reset();
            break;
        case MemberRequest::kResolve:
            setCommitDone(resolve(m_node.state, request.resolve().request_id()), reply);
            break;
        case MemberRequest::kRollback:
        case MemberRequest::kReset:
            transaction.reset();
            setDone(reply, {});
            break;
        case MemberRequest::STEP_NOT_SET:
            setFailure(reply, target::v1::FAILURE_KIND_STATEMENT,
                       "the member request has no step set");
            break;
        }
        if (reply.has_done()) {
            reply.mutable_done()->set_idle(!transaction.has_value());
        }
    }

    void executeLocked(const target::v1::Execute &execute,
                       std::optional<OpenTransaction> &transaction, MemberReply &reply)
    {
        const common::v1::Statement &statement = execute.statement();
        if (statement.read_only()) {
            const auto rows = readLocked(statement, transaction);
            if (rows) {
                setDone(reply, *rows);
            } else {
                setFailure(reply, target::v1::FAILURE_KIND_STATEMENT, rows.error());
            }
            return;
        }
        const auto operation = parseOperation(statement);
        if (!operation) {
            setFailure(reply, target::v1::FAILURE_KIND_STATEMENT, operation.error());
            return;
        }
        if (!transaction) {
            commitLocked(execute.request_id(), {*operation}, reply);
            return;
        }
        const auto base = m_node.state.ledger.find(operation->key);
        if (base != m_node.state.ledger.end()) {
            transaction->overlay.emplace(base->first, base->second);
        }
        transaction->operations.push_back(*operation);
        setDone(reply, applyOperations(transaction->overlay, {*operation}));
    }

    void commitLocked(const std::string &requestId, std::vector<LedgerOperation> operations,
                      MemberReply &reply)
    {
        setCommitDone(commit(m_node.state, requestId, std::move(operations)), reply);
    }

    void setCommitDone(const CommitResult &result, MemberReply &reply)
    {
        target::v1::Done *done = reply.mutable_done();
        done->mutable_rows()->Assign(result.answer.begin(), result.answer.end());
        toWire(result.position, done->mutable_position());
        done->set_replayed(result.replayed);
        done->set_aborted(result.aborted);
    }

    tl::expected<std::vector<common::v1::Row>, std::string>
    readLocked(const common::v1::Statement &statement,
               const std::optional<OpenTransaction> &transaction) const
    {
        if (statement.parameters_size() != 1) {
            return tl::unexpected(
                std::string("a read statement takes one parameter: the key or key prefix"));
        }
        const std::string &key = statement.parameters(0);
        std::vector<common::v1::Row> rows;
        if (statement.name() == "ledger.get") {
            if (transaction && transaction->overlay.contains(key)) {
                rows.push_back(makeRow(key, transaction->overlay.at(key)));
                return rows;
            }
            const auto it = m_node.state.ledger.find(key);
            if (it != m_node.state.ledger.end()) {
                rows.push_back(makeRow(it->first, it->second));
            }
            return rows;
        }
        if (statement.name() == "ledger.scan") {
            for (auto it = m_node.state.ledger.lower_bound(key);
                 it != m_node.state.ledger.end() && it->first.starts_with(key); ++it) {
                rows.push_back(makeRow(it->first, it->second));
            }
            return rows;
        }
        return tl::unexpected("unknown read statement '" + statement.name() + "'");
    }

    static tl::expected<LedgerOperation, std::string>
    parseOperation(const common::v1::Statement &statement)
    {
        if (statement.parameters_size() != 2) {
            return tl::unexpected(std::string(
                "a write statement takes two parameters: the key and the value or amount"));
        }
        LedgerOperation operation;
        operation.key = statement.parameters(0);
        if (statement.name() == "ledger.put") {
            operation.value = statement.parameters(1);
            return operation;
        }
        if (statement.name() == "ledger.add") {
            operation.isAddition = true;
            operation.amount = std::strtoll(statement.parameters(1).c_str(), nullptr, 10);
            return operation;
        }
        return tl::unexpected("unknown write statement '" + statement.name() + "'");
    }

    // Streams the rows of a read in chunks. Returns false if the connection must be closed.
    bool streamAnswer(const MemberRequest &request, ServerStream &stream)
    {
        tl::expected<std::vector<common::v1::Row>, std::string> rows;
        acquireSlot();
        std::this_thread::sleep_for(m_options.statementTime);
        {
            const std::lock_guard lock(m_node.mutex);
            rows = readLocked(request.execute().statement(), std::nullopt);
        }
        releaseSlot();
        MemberReply reply;
        reply.set_attempt(request.attempt());
        if (!rows) {
            setFailure(reply, target::v1::FAILURE_KIND_STATEMENT, rows.error());
            return stream.Write(reply);
        }
        const bool isBroken = consumeFault(&standin::v1::MemberFault::break_answers,
                                           &standin::v1::MemberFault::set_break_answers);
        AnswerDigest digest;
        uint64_t index = 0;
        for (size_t i = 0; i < rows->size(); i += RowsPerChunk) {
            std::this_thread::sleep_for(m_options.chunkTime);
            reply.mutable_chunk()->Clear();
            reply.mutable_chunk()->set_index(index++);
            for (size_t j = i; j < std::min(rows->size(), i + RowsPerChunk); ++j) {
                digest.add((*rows)[j]);
                *reply.mutable_chunk()->add_rows() = (*rows)[j];
            }
            if (!stream.Write(reply) || (isBroken && i > rows->size() / 2)) {
                return false;
            }
        }
        *reply.mutable_end() = digest.end();
        return stream.Write(reply);
    }

    static void setFailure(MemberReply &reply, target::v1::FailureKind kind,
                           const std::string &message)
    {
        reply.mutable_failure()->set_kind(kind);
        reply.mutable_failure()->set_message(message);
    }

    void setDone(MemberReply &reply, const std::vector<common::v1::Row> &rows) const
    {
        reply.mutable_done()->mutable_rows()->Assign(rows.begin(), rows.end());
        toWire(positionOf(m_node.state), reply.mutable_done()->mutable_position());
    }

    target::v1::MemberStatus statusLocked() const
    {
        target::v1::MemberStatus status;
        status.set_group(m_options.group);
        status.set_member(m_node.state.name);
        status.set_role(m_node.state.role);
        toWire(positionOf(m_node.state), status.mutable_position());
        status.set_fenced_term(m_node.state.fencedTerm);
        status.set_running(m_node.running);
        status.set_connections(m_node.connections);
        status.set_open_transactions(m_node.openTransactions);
        status.set_sent_at_us(static_cast<uint64_t>(steadyNow().time_since_epoch() / Duration(1)));
        if (m_node.state.role != target::v1::ROLE_PRIMARY) {
            const auto silence = Clock::now() - m_node.lastPrimaryContact;
            status.set_primary_silent_ms(static_cast<uint32_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(silence).count()));
        }
        return status;
    }

    void recordRequest(const std::string &request)
    {
        const std::lock_guard lock(m_node.mutex);
        m_node.received.push_back(request);
        if (m_node.received.size() > MaxRecordedRequests) {
            m_node.received.pop_front();
        }
    }

    static std::string formatMetadata(const grpc::ServerContext &context)
    {
        std::string text;
        for (const auto &[name, value] : context.client_metadata()) {
            text.append(name.data(), name.size()).append("=");
            text.append(value.data(), value.size()).append(" ");
        }
        return text;
    }

    // Blocks while the member is isolated from VMs. Returns false if the caller cancels or the
    // server stops.
    bool waitWhileIsolated(const grpc::ServerContext &context)
    {
        std::unique_lock lock(m_node.mutex);
        while (isIsolatedFromVms(m_node) && !m_node.stopping) {
            if (context.IsCancelled()) {
                return false;
            }
            m_node.changed.wait_for(lock, IsolationPollInterval);
        }
        return !m_node.stopping;
    }

    // Decrements the counter of a fault that hits the next n answers. Returns false if it was zero.
    bool consumeFault(uint32_t (standin::v1::MemberFault::*get)() const,
                      void (standin::v1::MemberFault::*set)(uint32_t))
    {
        const std::lock_guard lock(m_node.mutex);
        const uint32_t left = (m_node.fault.*get)();
        if (left == 0) {
            return false;
        }
        (m_node.fault.*set)(left - 1);
        return true;
    }

    bool consumeLostAnswer()
    {
        return consumeFault(&standin::v1::MemberFault::lose_answers,
                            &standin::v1::MemberFault::set_lose_answers);
    }

    // Waits for one of the member's execution slots.
    void acquireSlot()
    {
        std::unique_lock lock(m_node.mutex);
        m_node.changed.wait(lock,
                            [&] { return m_node.running < m_options.slots || m_node.stopping; });
        ++m_node.running;
    }

    void releaseSlot()
    {
        const std::lock_guard lock(m_node.mutex);
        --m_node.running;
        m_node.changed.notify_all();
    }

    const GroupOptions &m_options;
    MemberNode &m_node;
};

} // namespace

struct GroupServers::State
{
    GroupOptions options;
    std::vector<std::unique_ptr<MemberNode>> nodes;
    std::vector<std::unique_ptr<MemberService>> services;
    std::vector<std::unique_ptr<grpc::Server>> servers;
    std::atomic<bool> stopping{false};
    std::thread replication;

    // Replicates from every primary to every other member.
    void replicateOnce();
    // Replicates the entries that are older than the replication lag, unless a fault separates the
    // two.
    void replicateBetween(MemberNode &primary, MemberNode &replica);
};

void GroupServers::State::replicateBetween(MemberNode &primary, MemberNode &replica)
{
    const std::scoped_lock lock(primary.mutex, replica.mutex);
    if (isIsolatedFromMembers(primary) || isIsolatedFromMembers(replica) ||
        primary.state.role != target::v1::ROLE_PRIMARY) {
        return;
    }
    if (primary.state.fencedTerm < replica.state.fencedTerm) {
        // The replica rejects replication from a lower term, which fences the primary at the later
        // one.
        fence(primary.state, replica.state.fencedTerm);
        primary.changed.notify_all();
        return;
    }
    const std::chrono::milliseconds lag(replica.fault.replication_lag_ms() > 0
                                            ? replica.fault.replication_lag_ms()
                                            : options.lag.count());
    const auto visibleUntil = Clock::now() - lag;
    size_t length = primary.state.log.size();
    while (length > 0 && primary.state.log[length - 1].appendedAt > visibleUntil) {
        --length;
    }
    const LogPosition before = positionOf(replica.state);
    replicate(primary.state, replica.state, length);
    replica.lastPrimaryContact = Clock::now();
    if (positionOf(replica.state) != before) {
        replica.changed.notify_all();
    }
}

void GroupServers::State::replicateOnce()
{
    for (const auto &primary : nodes) {
        for (const auto &replica : nodes) {
            if (primary != replica) {
                replicateBetween(*primary, *replica);
            }
        }
    }
}

GroupServers::GroupServers(GroupOptions options, std::vector<MemberAddress> members)
    : m_state(std::make_unique<State>())
{
    m_state->options = std::move(options);
    for (const MemberAddress &it : members) {
        m_state->nodes.push_back(std::make_unique<MemberNode>());
        MemberNode &node = *m_state->nodes.back();
        node.state.name = it.name;
        fence(node.state, InitialTerm, InitialPromoter);
        m_state->services.push_back(std::make_unique<MemberService>(m_state->options, node));
    }
    promote(m_state->nodes.front()->state, InitialTerm, InitialPromoter);
    for (size_t i = 0; i < members.size(); ++i) {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(members[i].address, grpc::InsecureServerCredentials());
        builder.RegisterService(m_state->services[i].get());
        m_state->servers.push_back(builder.BuildAndStart());
    }
    m_state->replication = std::thread([state = m_state.get()] {
        while (!state->stopping) {
            state->replicateOnce();
            std::this_thread::sleep_for(ReplicationInterval);
        }
    });
}

GroupServers::~GroupServers()
{
    m_state->stopping = true;
    for (const auto &it : m_state->nodes) {
        const std::lock_guard lock(it->mutex);
        it->stopping = true;
        it->changed.notify_all();
    }
    m_state->replication.join();
    for (const auto &it : m_state->servers) {
        if (it != nullptr) {
            it->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(100));
        }
    }
}

const std::string &GroupServers::group() const
{
    return m_state->options.group;
}

bool GroupServers::setFault(const standin::v1::MemberFault &fault)
{
    for (const auto &it : m_state->nodes) {
        const std::lock_guard lock(it->mutex);
        if (it->state.name == fault.member()) {
            it->fault = fault;
            it->changed.notify_all();
            return true;
        }
    }
    return false;
}

std::vector<std::string> GroupServers::received() const
{
    std::vector<std::string> all;
    for (const auto &it : m_state->nodes) {
        const std::lock_guard lock(it->mutex);
        all.insert(all.end(), it->received.begin(), it->received.end());
    }
    return all;
}

} // namespace gentianplank
