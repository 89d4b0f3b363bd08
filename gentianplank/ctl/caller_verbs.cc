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

constexpr std::string_view ProbeKey = "probe";
constexpr Duration LongestRetryPause = std::chrono::milliseconds(50);

// How long a probe goes on asking for the outcome of its last write.
constexpr Duration ResolveTime = std::chrono::seconds(30);

Statement statementOf(std::string_view name, std::vector<std::string> parameters)
{
    Statement statement;
    statement.set_name(std::string(name));
    statement.mutable_parameters()->Assign(parameters.begin(), parameters.end());
    statement.set_read_only(name == "ledger.get" || name == "ledger.scan");
    return statement;
}

std::string readToken(const VerbCall &call)
{
    if (call.options.sessionFile.empty()) {
        return {};
    }
    std::ifstream in(call.options.sessionFile, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

void writeToken(const VerbCall &call, const std::string &token)
{
    if (call.options.sessionFile.empty() || token.empty()) {
        return;
    }
    std::ofstream out(call.options.sessionFile, std::ios::binary | std::ios::trunc);
    out << token;
    if (!out.flush()) {
        call.err << "the session file '" << call.options.sessionFile << "' can't be written\n";
    }
}

ExecuteRequest requestOf(const VerbCall &call, const Statement &statement)
{
    ExecuteRequest request;
    request.set_route(call.words[0]);
    *request.mutable_statement() = statement;
    request.set_session_token(readToken(call));
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
    const ExecuteRequest request = requestOf(call, statement);
    const auto reply = call.client.execute(request);
    if (!reply) {
        const int code = reportRefusal(call, reply.error());
        if (code == ExitOutcomeUnknown && !statement.read_only()) {
            call.err << "repeat it with --request_id=" << request.request_id()
                     << "; it then runs at most once\n";
        }
        return code;
    }
    writeToken(call, reply->session_token());
    return print(call, *reply, renderReply(*reply));
}

int get(const VerbCall &call)
{
    return execute(call, statementOf("ledger.get", {call.words[1]}));
}

int put(const VerbCall &call)
{
    return execute(call, statementOf("ledger.put", {call.words[1], call.words[2]}));
}

int add(const VerbCall &call)
{
    const auto amount = parseAmount("AMOUNT", call.words[2]);
    if (!amount) {
        return reportBadUsage(call, amount.error());
    }
    return execute(call, statementOf("ledger.add", {call.words[1], call.words[2]}));
}

int pull(const VerbCall &call)
{
    const auto end = call.client.pull(requestOf(call, statementOf("ledger.scan", {call.words[1]})),
                                      [&](const auto &chunk) {
                                          call.out << renderRows(chunk.rows());
                                          call.out.flush();
                                          std::this_thread::sleep_for(call.options.chunkPause);
                                      });
    if (!end) {
        return reportRefusal(call, end.error());
    }
    writeToken(call, end->session_token());
    call.out << "whole answer of " << end->end().row_count() << " rows through " << end->vm()
             << '\n';
    return ExitDone;
}

// One line of a transaction: get KEY, put KEY VALUE, add KEY AMOUNT, commit, rollback.
Parsed<caller::v1::TransactRequest> parseStep(const std::string &line, const std::string &requestId)
{
    std::istringstream in(line);
    const std::vector<std::string> words{std::istream_iterator<std::string>(in), {}};
    const std::string verb = words.empty() ? "" : words[0];
    caller::v1::TransactRequest step;
    if (verb == "commit" && words.size() == 1) {
        step.mutable_commit()->set_request_id(requestId);
    } else if (verb == "rollback" && words.size() == 1) {
        step.mutable_rollback();
    } else if (verb == "get" && words.size() == 2) {
        *step.mutable_statement() = statementOf("ledger.get", {words[1]});
    } else if ((verb == "put" || verb == "add") && words.size() == 3) {
        const auto amount = verb == "add" ? parseAmount("AMOUNT", words[2]) : Parsed<int64_t>(0);
        if (!amount) {
            return tl::unexpected(amount.error());
        }
        *step.mutable_statement() = statementOf("ledger." + verb, {words[1], words[2]});
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
    begin.set_route(call.words[0]);
    begin.set_session_token(readToken(call));
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
            return reportBadUsage(call, step.error() + "; the transaction is rolled back");
        }
        const auto reply = (*transaction)->step(*step);
        if (!reply) {
            return reportRefusal(call, reply.error());
        }
        call.out << renderRows(reply->rows());
        if (reply->committed()) {
            writeToken(call, reply->session_token());
            call.out << "committed" << (reply->replayed() ? ", by the first run" : "") << std::endl;
            return ExitDone;
        }
        if (step->has_rollback()) {
            break;
        }
        call.out << "ok" << std::endl;
    }
    call.out << "rolled back\n";
    return ExitDone;
}

struct ProbeCounts
{
    uint64_t acknowledged = 0;
    uint64_t refused = 0;
    uint64_t unknown = 0;
    // Writes whose outcome stayed unknown to the end.
    uint64_t unresolved = 0;
    Duration longestGap{0};
};

// Adds 1 until a time is over. A write whose outcome isn't known is repeated under its id, so
// that each counts once.
ProbeCounts probeUntil(const VerbCall &call, const std::string &key, Instant until)
{
    ProbeCounts counts;
    Instant last = steadyNow();
    ExecuteRequest request = requestOf(call, statementOf("ledger.add", {key, "1"}));
    bool isOpen = false;
    while (steadyNow() < until || isOpen) {
        if (!isOpen) {
            request.set_request_id(randomId());
        }
        const auto reply = call.client.execute(request);
        if (reply) {
            const Instant now = steadyNow();
            counts.longestGap = std::max(counts.longestGap, now - last);
            last = now;
            ++counts.acknowledged;
            request.set_session_token(reply->session_token());
            isOpen = false;
            continue;
        }
        const bool notRun = reply.error().outcome == ExecutionOutcome::NotRun;
        ++(notRun ? counts.refused : counts.unknown);
        // An earlier attempt may have run; only the same id tells.
        isOpen = isOpen || !notRun;
        if (isOpen && steadyNow() > until + ResolveTime) {
            ++counts.unresolved;
            break;
        }
        std::this_thread::sleep_for(std::min(LongestRetryPause, reply.error().retryAfter));
    }
    return counts;
}

int probe(const VerbCall &call)
{
    const auto seconds = parseCount("SECONDS", call.words[1]);
    if (!seconds) {
        return reportBadUsage(call, seconds.error());
    }
    const std::string key = std::string(ProbeKey) + "-" + randomId();
    const ProbeCounts counts = probeUntil(call, key, steadyNow() + std::chrono::seconds(*seconds));
    call.out << "acknowledged " << counts.acknowledged << " writes, refused " << counts.refused
             << ", unknown at first " << counts.unknown << "\nlongest time without an "
             << "acknowledged write: " << toMilliseconds(counts.longestGap) << " ms\n";
    ExecuteRequest request = requestOf(call, statementOf("ledger.get", {key}));
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
        call.err << "the entry doesn't count what was acknowledged\n";
        return ExitPromiseBroken;
    }
    return ExitDone;
}

constexpr Verb Verbs[] = {
    {"get", "ROUTE KEY", "reads one entry", 2, 2, get},
    {"put", "ROUTE KEY VALUE", "writes one entry", 3, 3, put},
    {"add", "ROUTE KEY AMOUNT", "adds to one entry", 3, 3, add},
    {"pull", "ROUTE PREFIX", "streams all entries that start so, and checks that none is missing",
     2, 2, pull},
    {"transaction", "ROUTE",
     "runs the lines of standard input: get KEY, put KEY VALUE, add KEY AMOUNT, commit, rollback",
     1, 1, transact},
    {"probe", "ROUTE SECONDS",
     "adds 1 over and over, and tells the longest time without an acknowledged write", 2, 2, probe},
};

} // namespace

std::span<const Verb> callerVerbs()
{
    return Verbs;
}

} // namespace gentianplank
