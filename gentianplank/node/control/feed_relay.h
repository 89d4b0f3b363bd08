// Lets most VMs follow the store's tables through another VM, the relay, which forwards updates as
// soon as it has them. vm/relay_choice.h decides which VM follows which.
//
// A relayed answer carries the age of the relay's proof, so that the follower may rely on it for
// exactly as long as on a proof of its own.
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

// Serves the requests of VMs that follow through this one. Not thread-safe.
class FeedRelay
{
public:
    using Reply = std::function<void(const peer::v1::Frame &)>;

    // Replies once there is an update or a newer proof, or at once to an immediate read (`prompt`).
    // Replies `unknown` at once when this VM has reported that it lost the store, unless the
    // request is a long poll (`patient`), which waits until the store is back. `follower` is null
    // for a table that this VM does not follow.
    void handleRequest(const peer::v1::FeedAsk &request, const TableFollower *follower,
                       Reply reply);

    // Replies `unknown` to the waiting requests for a table that this VM can no longer follow, and
    // to new ones until the follower advances; long polls keep waiting.
    void reportStoreLost(const std::string &table);

    // Replies `unknown` to all waiting and all later requests, since this VM shuts down.
    void stop();

    // Answers the waiting requests for a table whose follower has new rows or a newer proof.
    void onFollowerAdvanced(const std::string &table, const TableFollower &follower);

private:
    struct WaitingRequest
    {
        peer::v1::FeedAsk request;
        Reply reply;
    };

    struct CompressedValue
    {
        StoreVersion version;
        std::string bytes;
    };

    peer::v1::Frame makeAnswer(const peer::v1::FeedAsk &request, const TableFollower &follower);
    void addRow(const StoredRow &row, peer::v1::FeedAnswer *answer);

    std::map<std::string, std::vector<WaitingRequest>> m_waitingRequests;
    // Tables whose loss was reported to followers.
    std::set<std::string> m_lostTables;
    bool m_isStopped = false;
    // Compressed large values by table and key, so that each is compressed once.
    std::map<std::pair<std::string, std::string>, CompressedValue> m_compressedValues;
};

// What RelayedRowStore needs of its owner.
struct RelayedRowStoreEnvironment
{
    // Returns the relay to use, none of `avoided`, or nothing when the store is to be read
    // directly.
    std::function<std::optional<RelayChoice>(const std::set<std::string> &avoided)> selectRelay;
    std::function<void(const std::string &vm, const peer::v1::Frame &)> send;
    Scheduler schedule;
};

// A store whose rows are read through a relay while one answers, and from the store itself
// otherwise. When neither answers, it sends long polls to other relays instead of retrying the
// store, so that an outage of the store is not met with calls by all VMs. Writes go to the store
// itself. Not thread-safe.
class RelayedRowStore : public RowStore
{
public:
    // `direct` outlives this object.
    RelayedRowStore(RowStore &direct, RelayedRowStoreEnvironment environment);
    ~RelayedRowStore() override;

    void read(RowRange range, Duration timeout,
              std::function<void(RowResult<RowSet>)> done) override;
    void change(RowTransaction transaction, Duration timeout,
                std::function<void(RowResult<StoreVersion>)> done) override;
    void changesAfter(std::string table, StoreVersion after, Duration wait, Duration timeout,
                      std::function<void(RowResult<RowSet>)> done) override;

    void handleAnswer(const std::string &vm, const peer::v1::FeedAnswer &answer);
    void handlePeerLost(const std::string &vm);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
