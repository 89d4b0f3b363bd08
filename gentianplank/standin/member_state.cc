#include "gentianplank/standin/member_state.h"

#include <algorithm>
#include <charconv>

namespace gentianplank {

namespace {

int64_t parseNumber(std::string_view text)
{
    int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

void appendEntry(MemberState &member, LogEntry entry)
{
    if (!entry.requestId.empty()) {
        member.requests[entry.requestId] = member.log.size();
    }
    member.log.push_back(std::move(entry));
}

CommitResult recordedOutcome(const MemberState &member, size_t index)
{
    const LogEntry &entry = member.log[index];
    return {{member.term, index + 1}, entry.answer, true, entry.aborted};
}

void truncate(MemberState &member, size_t length)
{
    if (member.log.size() == length) {
        return;
    }
    std::vector<LogEntry> kept(member.log.begin(),
                               member.log.begin() + static_cast<std::ptrdiff_t>(length));
    member.log.clear();
    member.requests.clear();
    member.ledger.clear();
    for (LogEntry &it : kept) {
        applyOperations(member.ledger, it.operations);
        appendEntry(member, std::move(it));
    }
}

// Returns the length of the common prefix of two logs. Entries with equal index and term are
// identical, and so are all entries before them.
size_t commonPrefixLength(const MemberState &a, const MemberState &b)
{
    size_t n = std::min(a.log.size(), b.log.size());
    while (n > 0 && a.log[n - 1].term != b.log[n - 1].term) {
        --n;
    }
    return n;
}

} // namespace

LogPosition positionOf(const MemberState &member)
{
    return {member.log.empty() ? 0 : member.log.back().term, member.log.size()};
}

bool fence(MemberState &member, uint64_t term, std::string_view promoter)
{
    if (term < member.fencedTerm) {
        return false;
    }
    if (term > member.fencedTerm) {
        member.fencedTerm = term;
        member.grantedTo.clear();
    }
    if (member.fencedTerm > member.term) {
        member.role = target::v1::ROLE_REPLICA;
    }
    if (member.grantedTo.empty()) {
        member.grantedTo = promoter;
    }
    return member.grantedTo == promoter;
}

bool promote(MemberState &member, uint64_t term, std::string_view promoter)
{
    if (!fence(member, term, promoter)) {
        return false;
    }
    if (term == member.term) {
        return member.role == target::v1::ROLE_PRIMARY && !promoter.empty();
    }
    member.term = term;
    member.role = target::v1::ROLE_PRIMARY;
    LogEntry firstEntry;
    firstEntry.term = term;
    firstEntry.appendedAt = std::chrono::steady_clock::now();
    appendEntry(member, std::move(firstEntry));
    return true;
}

target::v1::FailureKind refusalOf(const MemberState &member, uint64_t term)
{
    if (term < member.fencedTerm) {
        return target::v1::FAILURE_KIND_FENCED;
    }
    if (member.role != target::v1::ROLE_PRIMARY || member.term != term) {
        return target::v1::FAILURE_KIND_NOT_PRIMARY;
    }
    return target::v1::FAILURE_KIND_UNSPECIFIED;
}

CommitResult commit(MemberState &primary, std::string_view requestId,
                    std::vector<LedgerOperation> operations)
{
    const auto recorded = primary.requests.find(requestId);
    if (!requestId.empty() && recorded != primary.requests.end()) {
        return recordedOutcome(primary, recorded->second);
    }
    LogEntry entry;
    entry.term = primary.term;
    entry.requestId = requestId;
    entry.answer = applyOperations(primary.ledger, operations);
    entry.operations = std::move(operations);
    entry.appendedAt = std::chrono::steady_clock::now();
    CommitResult result;
    result.answer = entry.answer;
    appendEntry(primary, std::move(entry));
    result.position = positionOf(primary);
    return result;
}

CommitResult resolve(MemberState &primary, std::string_view requestId)
{
    const auto recorded = primary.requests.find(requestId);
    if (recorded != primary.requests.end()) {
        return recordedOutcome(primary, recorded->second);
    }
    LogEntry abortMarker;
    abortMarker.term = primary.term;
    abortMarker.requestId = requestId;
    abortMarker.aborted = true;
    abortMarker.appendedAt = std::chrono::steady_clock::now();
    appendEntry(primary, std::move(abortMarker));
    return {positionOf(primary), {}, false, true};
}

bool replicate(const MemberState &primary, MemberState &replica, size_t length)
{
    if (primary.role != target::v1::ROLE_PRIMARY || replica.fencedTerm > primary.term) {
        return false;
    }
    truncate(replica, commonPrefixLength(primary, replica));
    replica.role = target::v1::ROLE_REPLICA;
    replica.term = primary.term;
    fence(replica, primary.term);
    for (size_t i = replica.log.size(); i < length; ++i) {
        applyOperations(replica.ledger, primary.log[i].operations);
        appendEntry(replica, primary.log[i]);
    }
    return true;
}

std::vector<common::v1::Row>
applyOperations(std::map<std::string, std::string, std::less<>> &ledger,
                const std::vector<LedgerOperation> &operations)
{
    std::vector<common::v1::Row> rows;
    for (const LedgerOperation &it : operations) {
        std::string &value = ledger[it.key];
        value = it.isAddition ? std::to_string(parseNumber(value) + it.amount) : it.value;
        common::v1::Row row;
        row.add_values(it.key);
        row.add_values(value);
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace gentianplank
