#include "gentianplank/platform/http_row_store.h"

#include "gentianplank/base/event_log.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace gentianplank::platform {

namespace {

using Json = nlohmann::json;

constexpr char EraHeader[] = "Store-Era";
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpGone = 410;
constexpr unsigned HttpPreconditionFailed = 412;

std::string percentEncode(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            result += c;
        } else {
            result += '%';
            result += digits[byte >> 4U];
            result += digits[byte & 15U];
        }
    }
    return result;
}

// A value that is not valid base64 becomes empty, which no reader of rows accepts as a document.
StoredRow decodeRow(const Json &json)
{
    StoredRow row;
    row.table = json.value("table", "");
    row.key = json.at("key").get<std::string>();
    row.version = json.at("row-version").get<uint64_t>();
    const auto tombstone = json.find("tombstone");
    row.erased = tombstone != json.end() && *tombstone != Json(false);
    if (!row.erased && !absl::Base64Unescape(json.value("value", ""), &row.value)) {
        row.value.clear();
    }
    return row;
}

std::vector<StoredRow> decodeRows(const Json &json)
{
    std::vector<StoredRow> rows;
    for (const Json &it : json.value("rows", Json::array())) {
        if (it.value("part", "").empty()) {
            rows.push_back(decodeRow(it));
        }
    }
    return rows;
}

RowError errorOf(const HttpError &error)
{
    return {error.fault == HttpFault::NotSent ? RowFault::NotDone : RowFault::OutcomeUnknown,
            error.what,
            {}};
}

RowError errorOf(const HttpResponse &response)
{
    const std::string what = "the store answered HTTP status " + std::to_string(response.status);
    if (response.status == HttpGone) {
        return {RowFault::HistoryGone, what, {}};
    }
    return {RowFault::NotDone, what, {}};
}

// Limits at which the store truncates a reply with rows. Replies of a feed don't say whether they
// are truncated.
constexpr size_t MaxRowsPerReply = 500;
constexpr size_t MaxReplyBytes = 1000UL * 1000;

// Whether a feed's reply may be truncated: either the row limit is reached, or there is too little
// room left for another row of up to about twice the size of the largest one, in base64.
bool mayBeTruncated(const std::vector<StoredRow> &rows, size_t answerBytes)
{
    size_t largest = 0;
    for (const StoredRow &it : rows) {
        largest = std::max(largest, it.value.size());
    }
    return rows.size() >= MaxRowsPerReply ||
           (!rows.empty() && answerBytes + 3 * largest >= MaxReplyBytes);
}

RowResult<RowSet> decodeRowSet(const HttpResult &result, StoreClock &clock, BootInstant sentAt)
{
    if (!result) {
        return tl::make_unexpected(errorOf(result.error()));
    }
    if (result->status != HttpOk) {
        return tl::make_unexpected(errorOf(*result));
    }
    try {
        const Json json = Json::parse(result->body);
        RowSet set;
        set.rows = decodeRows(json);
        set.version = json.at("row-version").get<uint64_t>();
        set.hasMore = json.value("has-more", false);
        set.provenAt = answerTimeLowerBound(
            clock, sentAt, std::chrono::milliseconds(json.at("now-ms").get<int64_t>()), bootNow());
        return set;
    } catch (const Json::exception &error) {
        return tl::make_unexpected(RowError{RowFault::BadAnswer, error.what(), {}});
    }
}

RowResult<uint64_t> decodeChange(const HttpResult &result)
{
    if (!result) {
        return tl::make_unexpected(errorOf(result.error()));
    }
    try {
        if (result->status == HttpOk) {
            return Json::parse(result->body).at("row-version").get<uint64_t>();
        }
        if (result->status == HttpPreconditionFailed) {
            return tl::make_unexpected(RowError{RowFault::ConditionFailed,
                                                "a row's version differs from the expected one",
                                                decodeRows(Json::parse(result->body))});
        }
    } catch (const Json::exception &error) {
        return tl::make_unexpected(RowError{RowFault::BadAnswer, error.what(), {}});
    }
    return tl::make_unexpected(errorOf(*result));
}

Json rowName(const std::string &table, const std::string &key)
{
    return {{"table", table}, {"part", ""}, {"key", key}};
}

} // namespace

void HttpRowStore::noteEra(const HttpResult &result)
{
    if (!result) {
        return;
    }
    const std::string era = findHeader(result->headers, EraHeader).value_or("");
    if (era != m_era) {
        logEvent("store.era", {{"era", era}, {"previous", m_era}, {"status", result->status}});
        m_era = era;
    }
}

void HttpRowStore::read(RowRange range, Duration timeout,
                        std::function<void(RowResult<RowSet>)> done)
{
    std::string target = "/rows-get?table=" + percentEncode(range.table) + "&part=";
    if (!range.from.empty()) {
        target += "&from=" + percentEncode(range.from);
    }
    m_client.call({.method = "GET", .target = std::move(target), .body = {}, .headers = {}},
                  timeout,
                  [this, sentAt = bootNow(), done = std::move(done)](const HttpResult &result) {
                      noteEra(result);
                      done(decodeRowSet(result, m_clock, sentAt));
                  });
}

void HttpRowStore::change(RowTransaction transaction, Duration timeout,
                          std::function<void(RowResult<uint64_t>)> done)
{
    Json body{{"expected", Json::array()}, {"writes", Json::array()}, {"deletes", Json::array()}};
    for (const RowCondition &it : transaction.conditions) {
        Json row = rowName(it.table, it.key);
        row["row-version"] = it.version;
        body["expected"].push_back(std::move(row));
    }
    for (const StoredRow &it : transaction.writes) {
        Json row = rowName(it.table, it.key);
        row["value"] = absl::Base64Escape(it.value);
        body["writes"].push_back(std::move(row));
    }
    for (const RowCondition &it : transaction.erasures) {
        body["deletes"].push_back(rowName(it.table, it.key));
    }
    m_client.call({.method = "POST", .target = "/rows-tx", .body = body.dump(), .headers = {}},
                  timeout, [this, done = std::move(done)](const HttpResult &result) {
                      noteEra(result);
                      done(decodeChange(result));
                  });
}

void HttpRowStore::changesAfter(std::string table, uint64_t after, Duration wait, Duration timeout,
                                std::function<void(RowResult<RowSet>)> done)
{
    m_client.call(
        {.method = "GET",
         .target = "/rows-feed?table=" + percentEncode(table) + "&after=" + std::to_string(after) +
                   "&wait-ms=" + std::to_string(toMilliseconds(wait)),
         .body = {},
         .headers = {}},
        timeout, [this, sentAt = bootNow(), done = std::move(done)](const HttpResult &result) {
            noteEra(result);
            auto set = decodeRowSet(result, m_clock, sentAt);
            if (set) {
                set->hasMore = mayBeTruncated(set->rows, result->body.size());
            }
            done(std::move(set));
        });
}

} // namespace gentianplank::platform
