#include "gentianplank/configuration/change_log.h"

#include <charconv>
#include <cstdio>

namespace gentianplank {

namespace {

constexpr std::string_view HeadKey = "configuration/head";

constexpr int AppendAttempts = 4;

// Key of the row that maps a write id to its revision.
std::string writeKey(std::string_view writeId)
{
    return "configuration/write/" + std::string(writeId);
}

// Revisions are padded so that key order is revision order.
std::string changeKey(uint64_t revision)
{
    char buf[64];
    std::snprintf(buf, sizeof(buf), "configuration/change/%020llu",
                  static_cast<unsigned long long>(revision));
    return buf;
}

uint64_t parseRevision(std::string_view value)
{
    uint64_t revision = 0;
    std::from_chars(value.data(), value.data() + value.size(), revision);
    return revision;
}

} // namespace

ChangeLog::ChangeLog(TableStore &store, std::string membersKey)
    : m_store(store)
    , m_membersKey(std::move(membersKey))
{}

tl::expected<uint64_t, StoreError> ChangeLog::head(Duration timeout)
{
    return m_store.read(HeadKey, timeout).map([](const TableRow &row) {
        return parseRevision(row.value);
    });
}

tl::expected<std::optional<StoredChange>, StoreError> ChangeLog::findWrite(std::string_view writeId,
                                                                           Duration timeout)
{
    const auto row = m_store.read(writeKey(writeId), timeout);
    if (!row) {
        return tl::unexpected(row.error());
    }
    if (row->revision == 0) {
        return std::optional<StoredChange>{};
    }
    StoredChange stored{parseRevision(row->value), 0};
    if (!m_membersKey.empty()) {
        const auto members = m_store.read(m_membersKey, timeout);
        if (!members) {
            return tl::unexpected(members.error());
        }
        stored.membersRevision = members->revision;
    }
    return std::optional<StoredChange>{stored};
}

AppendFailure ChangeLog::conflictFailure(uint64_t revision, Duration timeout)
{
    AppendFailure failure{AppendError::Conflict, {}};
    const auto row = m_store.read(changeKey(revision), timeout);
    if (row) {
        failure.conflictingChange.ParseFromString(row->value);
    }
    return failure;
}

tl::expected<StoredChange, AppendFailure> ChangeLog::tryAppend(const ConfigurationChange &change,
                                                               Duration timeout)
{
    const auto found = findWrite(change.write_id(), timeout);
    if (!found) {
        return tl::unexpected(AppendFailure{AppendError::Unavailable, {}});
    }
    if (*found) {
        return **found;
    }
    const auto headRow = m_store.read(HeadKey, timeout);
    const auto members = m_store.read(m_membersKey, timeout);
    if (!headRow || !members) {
        return tl::unexpected(AppendFailure{AppendError::Unavailable, {}});
    }
    if (parseRevision(headRow->value) + 1 != change.revision()) {
        return tl::unexpected(conflictFailure(change.revision(), timeout));
    }
    TableTransaction transaction;
    transaction.conditions.push_back({std::string(HeadKey), headRow->revision});
    transaction.conditions.push_back({changeKey(change.revision()), 0});
    transaction.conditions.push_back({writeKey(change.write_id()), 0});
    transaction.conditions.push_back({m_membersKey, members->revision});
    const std::string revision = std::to_string(change.revision());
    transaction.writes.push_back({std::string(HeadKey), revision});
    transaction.writes.push_back({changeKey(change.revision()), change.SerializeAsString()});
    transaction.writes.push_back({writeKey(change.write_id()), revision});
    const auto result = m_store.transact(transaction, timeout);
    if (!result) {
        return tl::unexpected(AppendFailure{result.error() == StoreError::Unavailable
                                                ? AppendError::Unavailable
                                                : AppendError::OutcomeUnknown,
                                            {}});
    }
    if (result->committed) {
        return StoredChange{change.revision(), members->revision};
    }
    if (result->failedKey == m_membersKey) {
        return tl::unexpected(AppendFailure{AppendError::MembersChanged, {}});
    }
    // An earlier attempt of this write may have caused the failed condition; the next attempt reads
    // back whether it was stored.
    return tl::unexpected(AppendFailure{AppendError::OutcomeUnknown, {}});
}

tl::expected<StoredChange, AppendFailure> ChangeLog::append(const ConfigurationChange &change,
                                                            Duration timeout)
{
    // A request without an answer may still take effect. Since all attempts have the same
    // conditions, at most one of them takes effect, so resending is safe and settles the outcome.
    bool mayHaveTakenEffect = false;
    AppendFailure failure;
    for (int i = 0; i < AppendAttempts; ++i) {
        auto stored = tryAppend(change, timeout);
        if (stored || stored.error().error == AppendError::Conflict) {
            return stored;
        }
        failure = stored.error();
        mayHaveTakenEffect = mayHaveTakenEffect || failure.error == AppendError::OutcomeUnknown;
    }
    if (mayHaveTakenEffect) {
        failure.error = AppendError::OutcomeUnknown;
    }
    return tl::unexpected(failure);
}

tl::expected<std::vector<ConfigurationChange>, StoreError>
ChangeLog::readAfter(uint64_t revision, uint32_t limit, Duration timeout)
{
    const auto rows =
        m_store.readRange(changeKey(revision + 1), "configuration/change/~", limit, timeout);
    if (!rows) {
        return tl::unexpected(rows.error());
    }
    std::vector<ConfigurationChange> changes;
    for (const TableRow &it : *rows) {
        ConfigurationChange change;
        if (!change.ParseFromString(it.value)) {
            return tl::unexpected(StoreError::Unavailable);
        }
        changes.push_back(std::move(change));
    }
    return changes;
}

} // namespace gentianplank
