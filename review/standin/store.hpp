// The platform's store, as PROTOCOL.md describes it: tables of rows, transactions and feeds.
#pragma once

#include "net.hpp"

#include <condition_variable>

namespace review {

// The platform's store: rows with versions, transactions, ranges and feeds.
class Store
{
public:
    struct Row
    {
        std::string value;
        uint64_t version = 0;
        bool isErased = false;
    };

    HttpResponse handle(const HttpRequest &request)
    {
        sleepMs(4);
        if (request.path == "/rows-tx") {
            return transact(Json::parse(request.body));
        }
        if (request.path == "/rows-get") {
            return range(request.query);
        }
        if (request.path == "/rows-feed") {
            return feed(request.query);
        }
        return {404, Json::object()};
    }

    // Writes a row for the operator or a member; `value` is its document.
    uint64_t put(const std::string &table, const std::string &key, const Json &value)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, key}] = {base64(value.dump()), ++m_version, false};
        m_changed.notify_all();
        return m_version;
    }

private:
    static Json encode(const std::pair<std::string, std::string> &name, const Row &row)
    {
        Json json{{"table", name.first},
                  {"part", ""},
                  {"key", name.second},
                  {"row-version", row.version}};
        if (row.isErased) {
            json["tombstone"] = true;
        } else {
            json["value"] = row.value;
        }
        return json;
    }

    Json envelope() const
    {
        const auto steady = std::chrono::duration_cast<Ms>(Clock::now().time_since_epoch());
        return {{"rows", Json::array()},
                {"row-version", m_version},
                {"has-more", false},
                {"now-ms", steady.count()}};
    }

    HttpResponse transact(const Json &body)
    {
        const std::lock_guard lock(m_mutex);
        Json current = envelope();
        bool holds = true;
        for (const Json &it : body.at("expected")) {
            const std::pair<std::string, std::string> name{it.at("table"), it.at("key")};
            const auto row = m_rows.find(name);
            const bool exists = row != m_rows.end() && !row->second.isErased;
            holds =
                holds && it.at("row-version").get<uint64_t>() == (exists ? row->second.version : 0);
            if (exists) {
                current["rows"].push_back(encode(name, row->second));
            }
        }
        if (!holds) {
            return {412, current};
        }
        ++m_version;
        for (const Json &it : body.at("writes")) {
            m_rows[{it.at("table"), it.at("key")}] = {it.at("value"), m_version, false};
        }
        for (const Json &it : body.at("deletes")) {
            m_rows[{it.at("table"), it.at("key")}] = {"", m_version, true};
        }
        m_changed.notify_all();
        return {200, envelope()};
    }

    HttpResponse range(const std::map<std::string, std::string> &query) const
    {
        const std::lock_guard lock(m_mutex);
        Json body = envelope();
        const auto from = query.find("from");
        for (const auto &[name, row] : m_rows) {
            if (name.first == query.at("table") && !row.isErased &&
                (from == query.end() || name.second >= from->second)) {
                body["rows"].push_back(encode(name, row));
            }
        }
        return {200, body};
    }

    HttpResponse feed(const std::map<std::string, std::string> &query)
    {
        std::unique_lock lock(m_mutex);
        const uint64_t after = std::stoull(query.at("after"));
        const auto end = Clock::now() + Ms(std::stoll(query.at("wait-ms")));
        while (true) {
            std::map<uint64_t, std::vector<Json>> changes;
            for (const auto &[name, row] : m_rows) {
                if (name.first == query.at("table") && row.version > after) {
                    changes[row.version].push_back(encode(name, row));
                }
            }
            if (!changes.empty() || Clock::now() >= end) {
                Json body = envelope();
                for (const auto &[version, rows] : changes) {
                    for (const Json &row : rows) {
                        body["rows"].push_back(row);
                    }
                }
                return {200, body};
            }
            m_changed.wait_until(lock, end);
        }
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, Row> m_rows;
    uint64_t m_version = 1;
};

} // namespace review
