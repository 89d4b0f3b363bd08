#include "gentianplank/standin/http_table_store.h"

#include "gentianplank/base/boot_clock.h"
#include "gentianplank/http/http_listener.h"

#include <absl/strings/escaping.h>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace gentianplank {

namespace {

using Json = nlohmann::json;

// Delay before a feed without changes is answered, regardless of the wait time it requests.
constexpr Duration EmptyFeedDelay = std::chrono::milliseconds(20);
// Simulates a lost answer: longer than the timeout of any caller.
constexpr Duration LostAnswerDelay = std::chrono::hours(1);

constexpr char EraHeader[] = "Store-Era";

struct Row
{
    std::string value;
    uint64_t version = 0;
    bool erased = false;
};

using Tables = std::map<std::string, std::map<std::string, Row>>;

HttpAnswer makeAnswer(unsigned status, const Json &body, Duration delay = Duration::zero())
{
    return {status, body.dump(), "application/json", delay, {}};
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    size_t start = target.find('?');
    while (start != std::string::npos) {
        const size_t end = target.find('&', start + 1);
        const std::string part = target.substr(start + 1, end - start - 1);
        const size_t equals = part.find('=');
        std::string value;
        for (size_t i = equals + 1; i < part.size(); ++i) {
            if (part[i] == '%') {
                value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                value += part[i];
            }
        }
        query[part.substr(0, equals)] = value;
        start = end;
    }
    return query;
}

} // namespace

struct HttpTableStore::Copy::Content
{
    Tables tables;
    uint64_t version = 0;
    uint64_t oldestHistoryVersion = 0;
};

struct HttpTableStore::State
{
    HttpAnswer handle(const HttpCall &call);
    HttpAnswer answer(const HttpCall &call);
    HttpAnswer transact(const Json &body);
    std::optional<Duration> delayOf(const Json &transaction) const;
    void transactLater(const Json &body, Duration delay);
    HttpAnswer readRange(const std::map<std::string, std::string> &query) const;
    HttpAnswer feed(const std::map<std::string, std::string> &query) const;
    static Json rowToJson(const std::string &table, const std::string &key, const Row &row);
    // Returns the fields that all answers have, with no rows.
    Json envelope() const;

    mutable std::mutex mutex;
    boost::asio::io_context ioContext;
    std::unique_ptr<HttpListener> listener;
    std::thread thread;
    Tables tables;
    uint64_t version = 1;
    uint64_t era = 1;
    std::optional<std::string> eraHeader = "1";
    // Feeds that start from a lower version are answered with 410.
    uint64_t oldestHistoryVersion = 0;
    uint64_t calls = 0;
    std::map<std::string, uint64_t> reads;
    Fault fault = Fault::None;
    std::function<std::optional<Duration>(const std::string &, const std::string &)> writeDelay;
    std::function<unsigned(const std::string &, const std::string &)> promotionHandler;
    std::vector<uint64_t> fencingTokens;
};

Json HttpTableStore::State::rowToJson(const std::string &table, const std::string &key,
                                      const Row &row)
{
    Json json{{"table", table}, {"part", ""}, {"key", key}, {"row-version", row.version}};
    if (row.erased) {
        json["tombstone"] = true;
    } else {
        json["value"] = absl::Base64Escape(row.value);
    }
    return json;
}

Json HttpTableStore::State::envelope() const
{
    return {{"rows", Json::array()},
            {"row-version", version},
            {"has-more", false},
            {"now-ms", toMilliseconds(bootNow().time_since_epoch())}};
}

HttpAnswer HttpTableStore::State::handle(const HttpCall &call)
{
    HttpAnswer result = answer(call);
    const std::lock_guard lock(mutex);
    if (eraHeader) {
        result.headers.emplace_back(EraHeader, *eraHeader);
    }
    return result;
}

HttpAnswer HttpTableStore::State::answer(const HttpCall &call)
{
    std::unique_lock lock(mutex);
    ++calls;
    if (fault == Fault::Busy) {
        return makeAnswer(503, {});
    }
    HttpAnswer result = makeAnswer(404, {});
    const auto query = parseQuery(call.target);
    if (call.target == "/rows-tx" && fault == Fault::RejectedTransactions) {
        result = makeAnswer(429, {});
    } else if (call.target == "/rows-tx") {
        const Json body = Json::parse(call.body);
        if (const auto delay = delayOf(body)) {
            transactLater(body, *delay);
            return makeAnswer(503, {}, LostAnswerDelay);
        }
        result = transact(body);
    } else if (call.target.starts_with("/rows-get")) {
        ++reads[query.at("table")];
        result = readRange(query);
    } else if (call.target.starts_with("/rows-feed")) {
        result = feed(query);
    } else if (call.target == "/promotion") {
        const Json body = Json::parse(call.body);
        const auto token = findHeader(call.headers, "X-Gentianplank-Fence-Token");
        fencingTokens.push_back(std::stoull(token.value_or("0")));
        const auto handler = promotionHandler;
        lock.unlock();
        result = makeAnswer(handler ? handler(body.at("service"), body.at("id")) : 409, {});
        lock.lock();
    }
    if (fault == Fault::LostAnswers) {
        result.delay = LostAnswerDelay;
    }
    return result;
}

HttpAnswer HttpTableStore::State::transact(const Json &body)
{
    Json currentRows = envelope();
    bool conditionsHold = true;
    for (const Json &it : body.at("expected")) {
        const std::string table = it.at("table");
        const std::string key = it.at("key");
        const Row &row = tables[table][key];
        const uint64_t currentVersion = row.erased ? 0 : row.version;
        conditionsHold = conditionsHold && currentVersion == it.at("row-version").get<uint64_t>();
        if (currentVersion != 0) {
            currentRows["rows"].push_back(rowToJson(table, key, row));
        }
    }
    if (!conditionsHold) {
        return makeAnswer(412, currentRows);
    }
    ++version;
    for (const Json &it : body.at("writes")) {
        std::string value;
        absl::Base64Unescape(it.at("value").get<std::string>(), &value);
        tables[it.at("table")][it.at("key")] = {value, version, false};
    }
    for (const Json &it : body.at("deletes")) {
        tables[it.at("table")][it.at("key")] = {"", version, true};
    }
    return makeAnswer(200, envelope());
}

std::optional<Duration> HttpTableStore::State::delayOf(const Json &transaction) const
{
    for (const Json &it : transaction.at("writes")) {
        std::string value;
        absl::Base64Unescape(it.at("value").get<std::string>(), &value);
        const auto delay = writeDelay ? writeDelay(it.at("key"), value) : std::nullopt;
        if (delay) {
            return delay;
        }
    }
    return std::nullopt;
}

void HttpTableStore::State::transactLater(const Json &body, Duration delay)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(ioContext, delay);
    timer->async_wait([this, timer, body](boost::system::error_code ec) {
        const std::lock_guard lock(mutex);
        if (!ec) {
            transact(body);
        }
    });
}

HttpAnswer HttpTableStore::State::readRange(const std::map<std::string, std::string> &query) const
{
    Json body = envelope();
    const auto table = tables.find(query.at("table"));
    const auto from = query.find("from");
    if (table != tables.end()) {
        for (const auto &[key, row] : table->second) {
            const bool isInRange = from == query.end() || key >= from->second;
            if (isInRange && !row.erased && row.version != 0) {
                body["rows"].push_back(rowToJson(table->first, key, row));
            }
        }
    }
    return makeAnswer(200, body);
}

HttpAnswer HttpTableStore::State::feed(const std::map<std::string, std::string> &query) const
{
    const uint64_t after = std::stoull(query.at("after"));
    if (after < oldestHistoryVersion || after > version) {
        return makeAnswer(410, envelope());
    }
    std::map<uint64_t, Json> changes;
    const auto table = tables.find(query.at("table"));
    if (table != tables.end()) {
        for (const auto &[key, row] : table->second) {
            if (row.version > after) {
                changes.emplace(row.version, rowToJson(table->first, key, row));
            }
        }
    }
    Json body = envelope();
    for (const auto &[rowVersion, row] : changes) {
        body["rows"].push_back(row);
    }
    return makeAnswer(200, body, changes.empty() ? EmptyFeedDelay : Duration::zero());
}

HttpTableStore::HttpTableStore()
    : m_state(std::make_shared<State>())
{
    m_state->listener = std::make_unique<HttpListener>(
        m_state->ioContext, "127.0.0.1:0",
        [state = m_state.get()](const HttpCall &call) { return state->handle(call); });
    m_state->listener->start();
    m_state->thread = std::thread([state = m_state] { state->ioContext.run(); });
}

HttpTableStore::~HttpTableStore()
{
    m_state->ioContext.stop();
    m_state->thread.join();
    m_state->listener = nullptr;
}

std::string HttpTableStore::address() const
{
    return "127.0.0.1:" + std::to_string(m_state->listener->port());
}

void HttpTableStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->tables[table][key] = {value, ++m_state->version, false};
}

void HttpTableStore::erase(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->tables[table][key] = {"", ++m_state->version, true};
}

std::optional<std::pair<std::string, uint64_t>> HttpTableStore::get(const std::string &table,
                                                                    const std::string &key) const
{
    const std::lock_guard lock(m_state->mutex);
    const auto rows = m_state->tables.find(table);
    if (rows == m_state->tables.end()) {
        return std::nullopt;
    }
    const auto row = rows->second.find(key);
    if (row == rows->second.end() || row->second.erased || row->second.version == 0) {
        return std::nullopt;
    }
    return std::pair(row->second.value, row->second.version);
}

void HttpTableStore::setFault(Fault fault)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->fault = fault;
}

void HttpTableStore::delayWrites(
    std::function<std::optional<Duration>(const std::string &key, const std::string &value)>
        delayOf)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->writeDelay = std::move(delayOf);
}

void HttpTableStore::dropHistory()
{
    const std::lock_guard lock(m_state->mutex);
    m_state->oldestHistoryVersion = ++m_state->version;
}

HttpTableStore::Copy HttpTableStore::copy() const
{
    const std::lock_guard lock(m_state->mutex);
    return Copy(std::make_shared<const Copy::Content>(
        Copy::Content{m_state->tables, m_state->version, m_state->oldestHistoryVersion}));
}

void HttpTableStore::restore(const Copy &copy)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->tables = copy.m_content->tables;
    m_state->version = copy.m_content->version;
    m_state->oldestHistoryVersion = copy.m_content->oldestHistoryVersion;
    m_state->eraHeader = std::to_string(++m_state->era);
}

void HttpTableStore::setEraHeader(std::optional<std::string> text)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->eraHeader = std::move(text);
}

HttpTableStore::Copy::Copy(std::shared_ptr<const Content> content)
    : m_content(std::move(content))
{}

HttpTableStore::Copy::~Copy() = default;

std::vector<uint64_t> HttpTableStore::fencingTokens() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->fencingTokens;
}

void HttpTableStore::onPromotion(
    std::function<unsigned(const std::string &group, const std::string &member)> handler)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->promotionHandler = std::move(handler);
}

uint64_t HttpTableStore::calls() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->calls;
}

uint64_t HttpTableStore::reads(const std::string &table) const
{
    const std::lock_guard lock(m_state->mutex);
    const auto it = m_state->reads.find(table);
    return it == m_state->reads.end() ? 0 : it->second;
}

} // namespace gentianplank
