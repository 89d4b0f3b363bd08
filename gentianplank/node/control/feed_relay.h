// Lets most VMs follow the store at second hand: a VM tells those that follow it as soon as it
// knows more itself. Who follows whom is decided by vm/relay_choice.h.
//
// What a VM is told carries the age of its proof, so that it may rely on it exactly as long as on
// its own.
#pragma once

#include "gentianplank/peer/proto/peer.pb.h"
#include "gentianplank/store/store_clock.h"
#include "gentianplank/store/table_follower.h"
#include "gentianplank/vm/relay_choice.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace gentianplank {

// Answers those who follow at second hand. Not thread-safe.
class FeedRelay
{
public:
    using Reply = std::function<void(const peer::v1::Frame &)>;

    // Answers when there is something new or a younger proof; at once when this VM said that it
    // lost the store and the asker is not patient. `follower` is null for a table that is not
    // followed.
    void ask(const peer::v1::FeedAsk &ask, const TableFollower *follower, Reply reply);

    // Tells those who wait or ask, and are not patient, that this VM lost the store; until the
    // follower advances.
    void dismiss(const std::string &table);

    // Tells all who wait, and from now on all who ask, to follow another: this VM stops.
    void retire();

    // The follower of a table knows more, or has a younger proof.
    void advanced(const std::string &table, const TableFollower &follower);

private:
    struct Waiting
    {
        peer::v1::FeedAsk ask;
        Reply reply;
    };

    struct PackedValue
    {
        uint64_t version = 0;
        std::string bytes;
    };

    peer::v1::Frame answerTo(const peer::v1::FeedAsk &ask, const TableFollower &follower);
    void addRow(const StoredRow &row, peer::v1::FeedAnswer *answer);

    std::map<std::string, std::vector<Waiting>> m_waiting;
    // Tables whose loss was told.
    std::set<std::string> m_lost;
    bool m_isRetired = false;
    // Large values as they are sent, by table and key, so that each is compressed once.
    std::map<std::pair<std::string, std::string>, PackedValue> m_packed;
};

// What following at second hand needs.
struct SecondHandEnvironment
{
    // The VM to follow, none of `avoided`; nothing when this VM should ask the store itself.
    std::function<std::optional<RelayChoice>(const std::set<std::string> &avoided)> relay;
    std::function<void(const std::string &vm, const peer::v1::Frame &)> send;
    Scheduler schedule;
};

// A store whose rows come from another VM while there is one that answers, and from the store
// itself otherwise. Where neither answers, other VMs are asked to tell when they can, so that an
// outage of the store is not met with calls by all VMs. Changes go to the store itself. Not
// thread-safe.
class SecondHandRowStore : public RowStore
{
public:
    // `direct` outlives this object.
    SecondHandRowStore(RowStore &direct, SecondHandEnvironment environment);
    ~SecondHandRowStore() override;

    void read(RowRange range, Duration timeout,
              std::function<void(RowResult<RowSet>)> done) override;
    void change(RowTransaction transaction, Duration timeout,
                std::function<void(RowResult<uint64_t>)> done) override;
    void changesAfter(std::string table, uint64_t after, Duration wait, Duration timeout,
                      std::function<void(RowResult<RowSet>)> done) override;

    void takeAnswer(const std::string &vm, const peer::v1::FeedAnswer &answer);
    void peerLost(const std::string &vm);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
