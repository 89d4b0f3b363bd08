#include "gentianplank/ctl/verbs.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

namespace gentianplank {

namespace {

using caller::v1::ExecuteReply;
using caller::v1::ExecuteRequest;
using common::v1::Statement;

constexpr std::string_view ProbeKeyPrefix = "probe";
constexpr Duration MaxRetryPause = std::chrono::milliseconds(50);

// How long a probe retries its last write, after its end, to learn the outcome.
constexpr Duration OutcomeResolveTimeout = std::chrono::seconds(30);

Statement makeStatement(std::string_view name, std::vector<std::string> parameters)
{
    Statement statement;
    statement.set_name(std::string(name));
    statement.mutable_parameters()->Assign(parameters.begin(), parameters.end());
    statement.set_read_only(name == "ledger.get" || name == "ledger.scan");
    return statement;
}

std::string readSessionToken(const VerbCall &call)
{
    if (call.options.sessionFile.empty()) {
        return {};
    }
    std::ifstream in(call.options.sessionFile, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

void writeSessionToken(const VerbCall &call, const std::string &token)
{
    if (call.options.sessionFile.empty() || token.empty()) {
        return;
    }
    std::ofstream out(call.options.sessionFile, std::ios::binary | std::ios::trunc);
    out << token;
    if (!out.flush()) {
        call.err << "the session file '" << call.options.sessionFile << "' cannot be written\n";
    }
}

ExecuteRequest makeRequest(const VerbCall &call, const Statement &statement)
{
    ExecuteRequest request;
    request.set_route(call.arguments[0]);
    *request.mutable_statement() = statement;
    request.set_session_token(readSessionToken(call));
    request.set_token_lost(call.options.tokenLost);
    if (call.options.acceptedAgeMs) {
        request.set_accepted_age_ms(*call.options.acceptedAgeMs);
    }
    if (!statement.read_only()) {
        request.set_request_id(call.options.requestId.empty() ? randomId()
                                                              : call.options.requestId);
    }
    return request;
}

std::string renderRows(const google::protobuf::RepeatedPtrField<common::v1::Row> &rows)
{
    std::string text;
    for (const common::v1::Row &row : rows) {
        std::string line;
        for (const std::string &it : row.values()) {
            line += (line.empty() ? "" : " = ") + it;
        }
        text += line + '\n';
    }
    return text;
}

std::string renderReply(const ExecuteReply &reply)
{
    return renderRows(reply.rows()) + "served by member " + reply.member() + " through " +
           reply.vm() + (reply.replayed() ? ", answered from the first run" : "") + '\n';
}

int execute(const VerbCall &call, const Statement &statement)
{
    const ExecuteRequest request = makeRequest(call, statement);
    const auto reply = call.client.execute(request);
    if (!reply) {
        const int code = reportRefusal(call, reply.error());
        if (code == ExitOutcomeUnknown && !statement.read_only()) {
            call.err << "retry with --request_id=" << request.request_id()
                     << "; the write then runs at most once\n";
        }
        return code;
    }
    writeSessionToken(call, reply->session_token());
    return printReply(call, *reply, renderReply(*reply));
}

int get(const VerbCall &call)
{
    return execute(call, makeStatement("ledger.get", {call.arguments[1]}));
}

int put(const VerbCall &call)
{
    return execute(call, makeStatement("ledger.put", {call.arguments[1], call.arguments[2]}));
}

int add(const VerbCall &call)
{
    const auto amount = parseAmount("AMOUNT", call.arguments[2]);
    if (!amount) {
        return reportUsageError(call, amount.error());
    }
    return execute(call, makeStatement("ledger.add", {call.arguments[1], call.arguments[2]}));
}

int pull(const VerbCall &call)
{
    const auto end =
        call.client.pull(makeRequest(call, makeStatement("ledger.scan", {call.arguments[1]})),
                         [&](const auto &chunk) {
                             call.out << renderRows(chunk.rows());
                             call.out.flush();
                             std::this_thread::sleep_for(call.options.chunkPause);
                         });
    if (!end) {
        return reportRefusal(call, end.error());
    }
    writeSessionToken(call, end->session_token());
    call.out << "whole answer of " << end->end().row_count() << " rows through " << end->vm()
             << '\n';
    return ExitSuccess;
}

// Parses one step of a transaction: get KEY, put KEY VALUE, add KEY AMOUNT, commit or rollback. A
// commit carries `requestId`.
Parsed<caller::v1::TransactRequest> parseStep(const std::string &line, const std::string &requestId)
{
    std::istringstream in(line);
    const std::vector<std::string> arguments{std::istream_iterator<std::string>(in), {}};
    const std::string verb = arguments.empty() ? "" : arguments[0];
    caller::v1::TransactRequest step;
    if (verb == "commit" && arguments.size() == 1) {
        step.mutable_commit()->set_request_id(requestId);
    } else if (verb == "rollback" && arguments.size() == 1) {
        step.mutable_rollback();
    } else if (verb == "get" && arguments.size() == 2) {
        *step.mutable_statement() = makeStatement("ledger.get", {arguments[1]});
    } else if ((verb == "put" || verb == "add") && arguments.size() == 3) {
        const auto amount =
            verb == "add" ? parseAmount("AMOUNT", arguments[2]) : Parsed<int64_t>(0);
        if (!amount) {
            return tl::unexpected(amount.error());
        }
        *step.mutable_statement() = makeStatement("ledger." + verb, {arguments[1], arguments[2]});
    } else {
        return tl::unexpected("'" + line +
                              "' is not get KEY, put KEY VALUE, add KEY AMOUNT, commit or "
                              "rollback");
    }
    return step;
}

int transact(const VerbCall &call)
{
    caller::v1::Begin begin;
    begin.set_route(call.arguments[0]);
    begin.set_session_token(readSessionToken(call));
    const auto transaction = call.client.begin(begin);
    if (!transaction) {
        return reportRefusal(call, transaction.error());
    }
    call.out << "begun" << std::endl;
    const std::string requestId =
        call.options.requestId.empty() ? randomId() : call.options.requestId;
    std::string line;
    while (std::getline(call.in, line)) {
        const auto step = parseStep(line, requestId);
        if (!step) {
            return reportUsageError(call, step.error() + "; the transaction is rolled back");
        }
        const auto reply = (*transaction)->step(*step);
        if (!reply) {
            return reportRefusal(call, reply.error());
        }
        call.out << renderRows(reply->rows());
        if (reply->committed()) {
            writeSessionToken(call, reply->session_token());
            call.out << "committed" << (reply->replayed() ? ", by the first run" : "") << std::endl;
            return ExitSuccess;
        }
        if (step->has_rollback()) {
            break;
        }
        call.out << "ok" << std::endl;
    }
    call.out << "rolled back\n";
    return ExitSuccess;
}

struct ProbeCounts
{
    uint64_t acknowledged = 0;
    uint64_t refused = 0;
    uint64_t unknown = 0;
    // Writes whose outcome was still unknown when the probe gave up.
    uint64_t unresolved = 0;
    Duration longestGap{0};
};

// Adds 1 to the entry in a loop until `until`. A write with an unknown outcome is retried with the
// same request id, so that it counts once.
ProbeCounts runProbe(const VerbCall &call, const std::string &key, Instant until)
{
    ProbeCounts counts;
    Instant lastAcknowledged = steadyNow();
    ExecuteRequest request = makeRequest(call, makeStatement("ledger.add", {key, "1"}));
    bool outcomePending = false;
    while (steadyNow() < until || outcomePending) {
        if (!outcomePending) {
            request.set_request_id(randomId());
        }
        const auto reply = call.client.execute(request);
        if (reply) {
            const Instant now = steadyNow();
            counts.longestGap = std::max(counts.longestGap, now - lastAcknowledged);
            lastAcknowledged = now;
            ++counts.acknowledged;
            request.set_session_token(reply->session_token());
            outcomePending = false;
            continue;
        }
        const bool notRun = reply.error().outcome == ExecutionOutcome::NotRun;
        ++(notRun ? counts.refused : counts.unknown);
        // An earlier attempt may have run, even when this one did not. A retry with the same id
        // returns the outcome.
        outcomePending = outcomePending || !notRun;
        if (outcomePending && steadyNow() > until + OutcomeResolveTimeout) {
            ++counts.unresolved;
            break;
        }
        std::this_thread::sleep_for(std::min(MaxRetryPause, reply.error().retryAfter));
    }
    return counts;
}

int probe(const VerbCall &call)
{
    const auto seconds = parseCount("SECONDS", call.arguments[1]);
    if (!seconds) {
        return reportUsageError(call, seconds.error());
    }
    const std::string key = std::string(ProbeKeyPrefix) + "-" + randomId();
    const ProbeCounts counts = runProbe(call, key, steadyNow() + std::chrono::seconds(*seconds));
    call.out << "acknowledged " << counts.acknowledged << " writes, refused " << counts.refused
             << ", unknown at first " << counts.unknown << "\nlongest time without an "
             << "acknowledged write: " << toMilliseconds(counts.longestGap) << " ms\n";
    ExecuteRequest request = makeRequest(call, makeStatement("ledger.get", {key}));
    request.clear_session_token();
    request.set_token_lost(true);
    const auto total = call.client.execute(request);
    if (!total) {
        return reportRefusal(call, total.error());
    }
    const bool hasRow = total->rows_size() > 0 && total->rows(0).values_size() > 1;
    const std::string value = hasRow ? total->rows(0).values(1) : "0";
    call.out << "the entry counts " << value << '\n';
    const auto counted = parseCount("the entry", value);
    if (!counted || *counted < counts.acknowledged ||
        *counted > counts.acknowledged + counts.unresolved) {
        call.err << "the value of the entry is inconsistent with the acknowledged writes\n";
        return ExitGuaranteeViolated;
    }
    return ExitSuccess;
}

constexpr Verb Verbs[] = {
    {"get", "ROUTE KEY", "reads one entry", 2, 2, get},
    {"put", "ROUTE KEY VALUE", "writes one entry", 3, 3, put},
    {"add", "ROUTE KEY AMOUNT", "adds to one entry", 3, 3, add},
    {"pull", "ROUTE PREFIX",
     "streams all entries whose key has the prefix, and verifies that the answer is complete", 2, 2,
     pull},
    {"transaction", "ROUTE",
     "runs the steps on standard input, one a line: get KEY, put KEY VALUE, add KEY AMOUNT, "
     "commit, rollback",
     1, 1, transact},
    {"probe", "ROUTE SECONDS",
     "adds 1 repeatedly, and reports the longest time without an acknowledged write", 2, 2, probe},
};

} // namespace

std::span<const Verb> callerVerbs()
{
    return Verbs;
}

} // namespace gentianplank
