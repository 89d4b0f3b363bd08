#include "gentianplank/node/traffic/forwarded_statement.h"

#include <algorithm>
#include <cmath>

namespace gentianplank {

namespace {

Duration fromMilliseconds(uint32_t ms)
{
    return std::chrono::milliseconds(ms);
}

uint32_t toMs(Duration duration)
{
    return static_cast<uint32_t>(std::max<int64_t>(0, toMilliseconds(duration)));
}

uint32_t toCount(double value)
{
    return static_cast<uint32_t>(std::lround(std::max(0.0, value)));
}

} // namespace

LogPosition fromWire(const peer::v1::Position &wire)
{
    return {wire.term(), wire.number()};
}

void toWire(const LogPosition &position, peer::v1::Position *wire)
{
    wire->set_term(position.term);
    wire->set_number(position.position);
}

void toWire(const ForwardedStatement &statement, peer::v1::Execute *wire)
{
    wire->set_session(statement.session.session);
    wire->set_group(statement.group);
    wire->set_member(statement.member);
    wire->set_organisation(statement.organisation);
    wire->set_key_fingerprint(statement.keyFingerprint);
    wire->set_revision(statement.revision);
    wire->set_request_id(statement.requestId);
    wire->set_text(statement.text);
    wire->set_kind(static_cast<uint32_t>(statement.kind));
    wire->set_opens_transaction(statement.opensTransaction);
    wire->set_continues_transaction(statement.continuesTransaction);
    wire->set_reads_only(statement.isReadOnly);
    if (statement.requiredPosition) {
        toWire(*statement.requiredPosition, wire->mutable_after());
    }
    for (const auto &[name, value] : statement.values) {
        auto *it = wire->add_values();
        it->set_name(name);
        it->set_value(value);
    }
    if (statement.prepared) {
        wire->mutable_prepared()->set_writes(statement.prepared->writes);
        wire->mutable_prepared()->set_shape(statement.prepared->shape);
    }
    wire->set_timeout_ms(toMs(statement.timeout));
    wire->set_objective_ms(toMs(statement.latencyObjective));
    wire->set_priority(statement.priority);
    wire->set_epoch(statement.epoch);
    if (statement.stalenessBound) {
        wire->set_freshness_ms(toMs(*statement.stalenessBound));
    }
}

ForwardedStatement fromWire(const peer::v1::Execute &wire)
{
    ForwardedStatement statement;
    statement.session.session = wire.session();
    statement.group = wire.group();
    statement.member = wire.member();
    statement.organisation = wire.organisation();
    statement.keyFingerprint = wire.key_fingerprint();
    statement.revision = wire.revision();
    statement.requestId = wire.request_id();
    statement.text = wire.text();
    statement.kind = static_cast<ForwardKind>(wire.kind());
    statement.opensTransaction = wire.opens_transaction();
    statement.continuesTransaction = wire.continues_transaction();
    statement.isReadOnly = wire.reads_only();
    if (wire.has_after()) {
        statement.requiredPosition = fromWire(wire.after());
    }
    for (const auto &it : wire.values()) {
        statement.values[it.name()] = it.value();
    }
    if (wire.has_prepared()) {
        statement.prepared = {wire.prepared().writes(), wire.prepared().shape()};
    }
    statement.timeout = fromMilliseconds(wire.timeout_ms());
    statement.latencyObjective = fromMilliseconds(wire.objective_ms());
    statement.priority = wire.priority();
    statement.epoch = wire.epoch();
    if (wire.has_freshness_ms()) {
        statement.stalenessBound = fromMilliseconds(wire.freshness_ms());
    }
    return statement;
}

void toWire(const StatementOutcome &outcome, peer::v1::Answer *wire)
{
    wire->set_fate(static_cast<uint32_t>(outcome.execution));
    // 0 encodes success; error codes are shifted by one.
    wire->set_code(outcome.code ? static_cast<uint32_t>(*outcome.code) + 1 : 0);
    wire->set_reason(outcome.reason);
    wire->set_lines(outcome.lines);
    wire->set_state(static_cast<uint32_t>(outcome.state));
    if (outcome.position) {
        toWire(*outcome.position, wire->mutable_position());
    }
    wire->set_retry_after_ms(toMs(outcome.retryAfter));
    wire->set_unreachable(outcome.isUnreachable);
    wire->set_at_member_us(static_cast<uint32_t>(outcome.timeAtMember.count()));
    wire->set_unanswered_us(static_cast<uint32_t>(outcome.unansweredFor.count()));
    wire->set_connection(outcome.connection);
    auto *load = wire->mutable_load();
    load->set_expected_wait_ms(toMs(outcome.expectedWait));
    load->set_recent_reads(toCount(outcome.memberReads.statements));
    load->set_recent_failures(toCount(outcome.memberReads.failures));
    load->set_mean_read_ms(toCount(std::ceil(outcome.memberReads.meanMs)));
}

StatementOutcome fromWire(const peer::v1::Answer &wire)
{
    StatementOutcome outcome;
    outcome.execution = static_cast<StatementExecution>(wire.fate());
    if (wire.code() != 0) {
        outcome.code = static_cast<ErrorCode>(wire.code() - 1);
    }
    outcome.reason = wire.reason();
    outcome.lines = wire.lines();
    outcome.state = static_cast<TransactionState>(wire.state());
    if (wire.has_position()) {
        outcome.position = fromWire(wire.position());
    }
    outcome.retryAfter = fromMilliseconds(wire.retry_after_ms());
    outcome.isUnreachable = wire.unreachable();
    outcome.timeAtMember = Duration(wire.at_member_us());
    outcome.unansweredFor = Duration(wire.unanswered_us());
    outcome.connection = wire.connection();
    const auto &load = wire.load();
    outcome.expectedWait = fromMilliseconds(load.expected_wait_ms());
    outcome.memberReads = {
        static_cast<double>(load.recent_reads()),
        static_cast<double>(std::min(load.recent_failures(), load.recent_reads())),
        static_cast<double>(load.mean_read_ms())};
    return outcome;
}

} // namespace gentianplank
