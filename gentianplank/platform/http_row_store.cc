#include "gentianplank/platform/http_row_store.h"

#include "gentianplank/base/event_log.h"

#include <absl/strings/escaping.h>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

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

// Returns nothing unless all of the text is a decimal number.
std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isWhole = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return isWhole ? std::optional<uint64_t>(number) : std::nullopt;
}

// A value that is not valid base64 becomes empty, which no reader of rows accepts as a document.
StoredRow decodeRow(const Json &json, uint64_t era)
{
    StoredRow row;
    row.table = json.value("table", "");
    row.key = json.at("key").get<std::string>();
    row.version = {era, json.at("row-version").get<uint64_t>()};
    const auto tombstone = json.find("tombstone");
    row.erased = tombstone != json.end() && *tombstone != Json(false);
    if (!row.erased && !absl::Base64Unescape(json.value("value", ""), &row.value)) {
        row.value.clear();
    }
    return row;
}

std::vector<StoredRow> decodeRows(const Json &json, uint64_t era)
{
    std::vector<StoredRow> rows;
    for (const Json &it : json.value("rows", Json::array())) {
        if (it.value("part", "").empty()) {
            rows.push_back(decodeRow(it, era));
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

Json rowName(const std::string &table, const std::string &key)
{
    return {{"table", table}, {"part", ""}, {"key", key}};
}

} // namespace

tl::expected<uint64_t, RowError> HttpRowStore::readEra(const HttpResponse &response)
{
    const auto text = findHeader(response.headers, EraHeader);
    if (!text && !m_era) {
        return 0;
    }
    const auto era = text ? parseNumber(*text) : std::nullopt;
    if (!era) {
        const std::string what = text ? "the store's answer has an invalid " +
                                            std::string(EraHeader) + " '" + *text + "'"
                                      : "the store's answer has no " + std::string(EraHeader);
        logEvent("store.era_invalid", {{"status", response.status}, {"what", what}});
        return tl::make_unexpected(RowError{RowFault::BadAnswer, what, {}});
    }
    if (!m_era || *era > *m_era) {
        logEvent("store.era",
                 {{"era", *era}, {"previous", m_era.value_or(0)}, {"status", response.status}});
        m_era = era;
    }
    return *era;
}

RowResult<RowSet> HttpRowStore::decodeRowSet(const HttpResult &result, BootInstant sentAt)
{
    if (!result) {
        return tl::make_unexpected(errorOf(result.error()));
    }
    if (result->status != HttpOk) {
        return tl::make_unexpected(errorOf(*result));
    }
    const auto era = readEra(*result);
    if (!era) {
        return tl::make_unexpected(era.error());
    }
    try {
        const Json json = Json::parse(result->body);
        RowSet set;
        set.rows = decodeRows(json, *era);
        set.version = {*era, json.at("row-version").get<uint64_t>()};
        set.hasMore = json.value("has-more", false);
        set.provenAt = answerTimeLowerBound(
            m_clock, sentAt, std::chrono::milliseconds(json.at("now-ms").get<int64_t>()),
            bootNow());
        return set;
    } catch (const Json::exception &error) {
        return tl::make_unexpected(RowError{RowFault::BadAnswer, error.what(), {}});
    }
}

// `expectedEra` is the era of the transaction's conditions, if it has one.
RowResult<StoreVersion> HttpRowStore::decodeChange(const HttpResult &result,
                                                   std::optional<uint64_t> expectedEra)
{
    if (!result) {
        return tl::make_unexpected(errorOf(result.error()));
    }
    if (result->status != HttpOk && result->status != HttpPreconditionFailed) {
        return tl::make_unexpected(errorOf(*result));
    }
    const auto era = readEra(*result);
    if (!era) {
        return tl::make_unexpected(era.error());
    }
    try {
        const Json json = Json::parse(result->body);
        if (result->status == HttpPreconditionFailed) {
            return tl::make_unexpected(RowError{RowFault::ConditionFailed,
                                                "a row's version differs from the expected one",
                                                decodeRows(json, *era)});
        }
        if (expectedEra && *expectedEra != *era) {
            return tl::make_unexpected(RowError{RowFault::OutcomeUnknown,
                                                "the store applied conditions of era " +
                                                    std::to_string(*expectedEra) + " in era " +
                                                    std::to_string(*era),
                                                {}});
        }
        return StoreVersion{*era, json.at("row-version").get<uint64_t>()};
    } catch (const Json::exception &error) {
        return tl::make_unexpected(RowError{RowFault::BadAnswer, error.what(), {}});
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
                      done(decodeRowSet(result, sentAt));
                  });
}

void HttpRowStore::change(RowTransaction transaction, Duration timeout,
                          std::function<void(RowResult<StoreVersion>)> done)
{
    const auto expectedEra = conditionEra(transaction);
    if (expectedEra && m_era && *expectedEra < *m_era) {
        // The store may have assigned the same version numbers to other contents.
        boost::asio::post(m_client.ioContext(), [done = std::move(done)] {
            done(tl::make_unexpected(RowError{
                RowFault::ConditionFailed, "a condition expects a version of an earlier era", {}}));
        });
        return;
    }
    Json body{{"expected", Json::array()}, {"writes", Json::array()}, {"deletes", Json::array()}};
    for (const RowCondition &it : transaction.conditions) {
        Json row = rowName(it.table, it.key);
        row["row-version"] = it.version.number;
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
                  timeout, [this, expectedEra, done = std::move(done)](const HttpResult &result) {
                      done(decodeChange(result, expectedEra));
                  });
}

void HttpRowStore::changesAfter(std::string table, StoreVersion after, Duration wait,
                                Duration timeout, std::function<void(RowResult<RowSet>)> done)
{
    m_client.call(
        {.method = "GET",
         .target = "/rows-feed?table=" + percentEncode(table) +
                   "&after=" + std::to_string(after.number) +
                   "&wait-ms=" + std::to_string(toMilliseconds(wait)),
         .body = {},
         .headers = {}},
        timeout,
        [this, after, sentAt = bootNow(), done = std::move(done)](const HttpResult &result) {
            auto set = decodeRowSet(result, sentAt);
            if (set) {
                set->hasMore = mayBeTruncated(set->rows, result->body.size());
            }
            done(asContinuation(std::move(set), after));
        });
}

} // namespace gentianplank::platform
