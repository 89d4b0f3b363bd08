// Stands in for the platform's table store and its promotion call, over HTTP.
//
//     HttpTableStore store;
//     store.put("op", "config", json);
//     store.setFault(HttpTableStore::Fault::Busy);
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gentianplank {

// Serves on a thread of its own, on loopback. Thread-safe.
class HttpTableStore
{
public:
    enum class Fault {
        None,
        // Answers 503 and does nothing.
        Busy,
        // Does what is asked and sends no answer.
        LostAnswers,
        // Answers 429 to changes, as a store does whose part has too many waiting.
        RefusedChanges,
    };

    HttpTableStore();
    ~HttpTableStore();

    // IP:PORT.
    std::string address() const;

    void put(const std::string &table, const std::string &key, const std::string &value);
    void erase(const std::string &table, const std::string &key);
    // The row's value and version; nothing when there is none.
    std::optional<std::pair<std::string, uint64_t>> get(const std::string &table,
                                                        const std::string &key) const;

    void setFault(Fault fault);
    // Feeds that ask for changes before now find none kept.
    void dropHistory();

    // What a promotion does; returns the HTTP status to answer.
    void onPromotion(
        std::function<unsigned(const std::string &group, const std::string &member)> handler);

    // Calls of all kinds so far, and those that read a table from its start.
    uint64_t calls() const;
    uint64_t reads(const std::string &table) const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
