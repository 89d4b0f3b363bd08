// Interface of the platform's transactional table service.
//
//     auto row = store.read("configuration/head", std::chrono::seconds(1));
//     TableTransaction change;
//     change.conditions.push_back({"configuration/head", row->revision});
//     change.writes.push_back({"configuration/head", document});
//     auto result = store.transact(change, std::chrono::seconds(1));
#pragma once

#include "gentianplank/base/time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// A row with the revision of its last write; revision 0 means that it doesn't exist.
struct TableRow
{
    std::string key;
    uint64_t revision = 0;
    std::string value;
};

// Requires that a row has `revision`; 0 requires that it doesn't exist.
struct TableCondition
{
    std::string key;
    uint64_t revision = 0;
};

struct TableWrite
{
    std::string key;
    std::string value;
    bool erase = false;
};

// All writes take effect if every condition holds, otherwise none.
struct TableTransaction
{
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;
};

struct TransactionResult
{
    bool committed = false;
    // The revision given to every written row.
    uint64_t revision = 0;
    // The key of the first condition that failed.
    std::string failedKey;
};

enum class StoreError {
    // The store didn't accept the request: it had no effect.
    Unavailable,
    // The answer was lost or missed its deadline: a transaction may have taken effect.
    OutcomeUnknown,
};

// Implementations are thread-safe. Every call returns within `timeout` or shortly after.
class TableStore
{
public:
    virtual ~TableStore() = default;

    virtual tl::expected<TableRow, StoreError> read(std::string_view key, Duration timeout) = 0;

    // Reads at most `limit` rows with first <= key < last, in key order.
    virtual tl::expected<std::vector<TableRow>, StoreError>
    readRange(std::string_view first, std::string_view last, uint32_t limit, Duration timeout) = 0;

    virtual tl::expected<TransactionResult, StoreError>
    transact(const TableTransaction &transaction, Duration timeout) = 0;
};

} // namespace gentianplank
