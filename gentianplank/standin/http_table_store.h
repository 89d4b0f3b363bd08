// In-memory table store and promotion call of the platform over HTTP, with simulated faults, for
// tests.
//
//     HttpTableStore store;
//     store.put("op", "config", json);
//     store.setFault(HttpTableStore::Fault::Busy);
//     const HttpTableStore::Copy copy = store.copy();
//     store.restore(copy);
#pragma once

#include "gentianplank/base/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianplank {

// Serves on a loopback port from its own thread until destroyed. Thread-safe.
class HttpTableStore
{
public:
    enum class Fault {
        None,
        // Answers every call with 503, without effect.
        Busy,
        // Processes every call but doesn't answer it.
        LostAnswers,
        // Answers transactions with 429, without effect, as the store does when too many are queued
        // for a part of a table.
        RejectedTransactions,
    };

    HttpTableStore();
    ~HttpTableStore();

    // Returns the listen address as IP:port.
    std::string address() const;

    void put(const std::string &table, const std::string &key, const std::string &value);
    void erase(const std::string &table, const std::string &key);
    // Returns the row's value and version, or nullopt if the row doesn't exist.
    std::optional<std::pair<std::string, uint64_t>> get(const std::string &table,
                                                        const std::string &key) const;

    void setFault(Fault fault);
    // Sets a function that is called with the key and value of each row that a transaction writes.
    // If it returns a delay, the transaction isn't answered, and is performed after the delay if
    // its conditions then hold. It runs on the server's thread.
    void delayWrites(
        std::function<std::optional<Duration>(const std::string &key, const std::string &value)>
            delayOf);
    // Discards the change history: feeds that start from an earlier version are answered with 410.
    void dropHistory();

    // The rows and the version of a moment.
    class Copy;
    Copy copy() const;
    // Returns to the copy in the next era: what was written since is gone, and its versions are
    // assigned again.
    void restore(const Copy &copy);
    // Sets the text of the era header in all answers from now on; without one, the header is left
    // out.
    void setEraHeader(std::optional<std::string> text);

    // Sets the handler of promotion calls, which returns the HTTP status to answer. It runs on the
    // server's thread. Without a handler, promotions are answered with 409.
    void onPromotion(
        std::function<unsigned(const std::string &group, const std::string &member)> handler);

    // Returns the fencing tokens of the promotion calls so far.
    std::vector<uint64_t> fencingTokens() const;

    // Returns the number of calls of all kinds so far.
    uint64_t calls() const;
    // Returns the number of range reads of a table so far.
    uint64_t reads(const std::string &table) const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

class HttpTableStore::Copy
{
public:
    ~Copy();

private:
    friend class HttpTableStore;
    struct Content;
    explicit Copy(std::shared_ptr<const Content> content);

    std::shared_ptr<const Content> m_content;
};

} // namespace gentianplank
