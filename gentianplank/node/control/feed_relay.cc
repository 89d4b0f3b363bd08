#include "gentianplank/node/control/feed_relay.h"

#include "gentianplank/base/compression.h"
#include "gentianplank/base/event_log.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace gentianplank {

namespace {

// A relay that failed is not used again for this long: several times what a process needs to
// restart.
constexpr Duration RelayAvoidanceTime = std::chrono::seconds(5);
// The time limit of an immediate read. The relay may just have lost its own relay, and finds
// another or replies `unknown` within half a second.
constexpr Duration ImmediateReadTimeout = std::chrono::milliseconds(600);
// The most requests that wait for one table, several of each VM of a large zone. The oldest are
// dropped; their senders have timed out by then.
constexpr size_t MaxWaitingRequests = 2000;
// After this many failed relays the store is read: each attempt uses up some of the proof's
// validity.
constexpr size_t MaxFailedRelays = 2;
// A relay in another zone times out this much earlier than the follower's limit, so that this VM's
// own followers hear from it before they time out.
constexpr Duration RemoteZoneTimeoutReduction = std::chrono::milliseconds(400);

// Smaller values gain little by compression.
constexpr size_t CompressionThresholdBytes = 2UL * 1024;
// The store accepts at most 1 MB in a call.
constexpr size_t MaxValueBytes = 1024UL * 1024;

// Returns the version that the sender of a request knows. Processes that don't know eras mean the
// era of this VM.
StoreVersion versionKnownTo(const peer::v1::FeedAsk &request, const TableFollower &follower)
{
    return {request.has_after_era() ? request.after_era() : follower.version().era,
            request.after()};
}

peer::v1::Frame unknownAnswer(uint64_t number)
{
    peer::v1::Frame frame;
    frame.mutable_feed_answer()->set_number(number);
    frame.mutable_feed_answer()->set_unknown(true);
    return frame;
}

} // namespace

void FeedRelay::addRow(const StoredRow &row, peer::v1::FeedAnswer *answer)
{
    auto *added = answer->add_rows();
    added->set_key(row.key);
    added->set_version(row.version.number);
    added->set_erased(row.erased);
    if (row.value.size() < CompressionThresholdBytes) {
        added->set_value(row.value);
        return;
    }
    CompressedValue &cached = m_compressedValues[{row.table, row.key}];
    if (cached.version != row.version) {
        cached = {row.version, compressed(row.value)};
    }
    added->set_value(cached.bytes);
    added->set_compressed(true);
}

peer::v1::Frame FeedRelay::makeAnswer(const peer::v1::FeedAsk &request,
                                      const TableFollower &follower)
{
    peer::v1::Frame frame;
    auto *answer = frame.mutable_feed_answer();
    answer->set_number(request.number());
    if (request.whole()) {
        for (const auto &[key, row] : follower.rows()) {
            addRow(row, answer);
        }
    } else {
        const StoreVersion known = versionKnownTo(request, follower);
        const auto changes = follower.changesAfter(known);
        if (!changes) {
            answer->set_history_gone(true);
            return frame;
        }
        for (const StoredRow &it : *changes) {
            addRow(it, answer);
        }
        answer->set_carries_over(known.era < follower.version().era);
    }
    const BootInstant now = bootNow();
    answer->set_era(follower.version().era);
    answer->set_version(follower.version().number);
    answer->set_clock_us(static_cast<uint64_t>(now.time_since_epoch().count()));
    answer->set_proof_age_us(static_cast<uint64_t>((now - follower.provenAt()).count()));
    return frame;
}

void FeedRelay::handleRequest(const peer::v1::FeedAsk &request, const TableFollower *follower,
                              Reply reply)
{
    if (follower == nullptr || m_isStopped) {
        reply(unknownAnswer(request.number()));
        return;
    }
    const bool isReachable = follower->isReachable();
    // A VM that has just started reads its first rows soon, so the request waits.
    const bool hasRows = follower->provenAt() != BootInstant{};
    if (!isReachable && hasRows && !request.patient() && m_lostTables.count(request.table()) != 0) {
        reply(unknownAnswer(request.number()));
        return;
    }
    // A follower that is ahead of this VM waits: answered at once, it would repeat its request in a
    // loop until this VM has caught up.
    const StoreVersion known = versionKnownTo(request, *follower);
    const bool isAhead = known > follower->version();
    const bool isInLaterEra = known.era > follower->version().era;
    const bool hasUpdate = request.whole() || (request.prompt() && !isInLaterEra) ||
                           (!isAhead && !follower->isUnchangedSince(known));
    if (isReachable && hasUpdate) {
        reply(makeAnswer(request, *follower));
        return;
    }
    auto &waiting = m_waitingRequests[request.table()];
    waiting.push_back({request, std::move(reply)});
    if (waiting.size() > MaxWaitingRequests) {
        waiting.erase(waiting.begin());
    }
}

void FeedRelay::reportStoreLost(const std::string &table)
{
    m_lostTables.insert(table);
    auto &waiting = m_waitingRequests[table];
    std::vector<WaitingRequest> rejected;
    std::erase_if(waiting, [&](WaitingRequest &it) {
        const bool usesLongPoll = it.request.patient();
        if (!usesLongPoll) {
            rejected.push_back(std::move(it));
        }
        return !usesLongPoll;
    });
    for (const WaitingRequest &it : rejected) {
        it.reply(unknownAnswer(it.request.number()));
    }
}

void FeedRelay::stop()
{
    m_isStopped = true;
    for (const auto &[table, waiting] : std::exchange(m_waitingRequests, {})) {
        for (const WaitingRequest &it : waiting) {
            it.reply(unknownAnswer(it.request.number()));
        }
    }
}

void FeedRelay::onFollowerAdvanced(const std::string &table, const TableFollower &follower)
{
    m_lostTables.erase(table);
    // A proof of this VM's era is worth nothing to a follower that knows a later one.
    const auto isInLaterEra = [&follower](const WaitingRequest &it) {
        return versionKnownTo(it.request, follower).era > follower.version().era;
    };
    auto &waiting = m_waitingRequests[table];
    const auto firstAnswered = std::partition(waiting.begin(), waiting.end(), isInLaterEra);
    const std::vector<WaitingRequest> answered(std::make_move_iterator(firstAnswered),
                                               std::make_move_iterator(waiting.end()));
    waiting.erase(firstAnswered, waiting.end());
    for (const WaitingRequest &it : answered) {
        it.reply(makeAnswer(it.request, follower));
    }
}

struct RelayedRowStore::State : std::enable_shared_from_this<RelayedRowStore::State>
{
    using Done = std::function<void(RowResult<RowSet>)>;

    struct PendingRequest
    {
        std::string vm;
        peer::v1::FeedAsk request;
        BootInstant sentAt{};
        BootInstant deadline{};
        Done done;
    };

    // The state of following one table.
    struct Source
    {
        std::map<std::string, BootInstant> avoidedUntil;
        // The next read goes to the store, since no time is left to try another relay first.
        bool isStoreNext = false;
        // Neither relays nor the store answered: the next request waits at a relay until that has
        // the store again.
        bool usesLongPoll = false;
        // The last answer came from a relay, so the next request goes to a relay even if others
        // failed before.
        bool isServedByRelay = false;
        // The last request failed and used up some of the proof's validity: the next one is
        // answered at once, with or without changes.
        bool readsImmediately = false;
    };

    State(RowStore &store, RelayedRowStoreEnvironment callbacks)
        : direct(store)
        , environment(std::move(callbacks))
    {}

    std::optional<RelayChoice> selectRelay(Source &source) const;
    // Sends the request to a relay, or calls `fetchFromStore` when there is none to use.
    void fetch(peer::v1::FeedAsk request, Duration timeout, Done done,
               const std::function<void(bool readsImmediately, Done)> &fetchFromStore);
    void handleStoreReply(const std::string &table, const RowResult<RowSet> &result);
    void fail(uint64_t number, RowFault fault, const std::string &what);

    RowStore &direct;
    RelayedRowStoreEnvironment environment;
    std::map<std::string, Source> sources;
    std::map<uint64_t, PendingRequest> pending;
    uint64_t nextNumber = 1;
    // Offsets of the relays' boot clocks to this VM's.
    std::map<std::string, StoreClock> relayClocks;
};

std::optional<RelayChoice> RelayedRowStore::State::selectRelay(Source &source) const
{
    const BootInstant now = bootNow();
    std::erase_if(source.avoidedUntil, [now](const auto &it) { return it.second <= now; });
    if (!source.usesLongPoll && !source.isServedByRelay &&
        (source.isStoreNext || source.avoidedUntil.size() >= MaxFailedRelays)) {
        return std::nullopt;
    }
    std::set<std::string> avoided;
    for (const auto &[vm, until] : source.avoidedUntil) {
        avoided.insert(vm);
    }
    return environment.selectRelay(avoided);
}

void RelayedRowStore::State::fetch(
    peer::v1::FeedAsk request, Duration timeout, Done done,
    const std::function<void(bool readsImmediately, Done)> &fetchFromStore)
{
    Source &source = sources[request.table()];
    const auto relay = selectRelay(source);
    if (!relay) {
        fetchFromStore(source.readsImmediately, [weak = weak_from_this(), table = request.table(),
                                                 done = std::move(done)](RowResult<RowSet> result) {
            if (const auto self = weak.lock()) {
                self->handleStoreReply(table, result);
            }
            done(std::move(result));
        });
        return;
    }
    const uint64_t number = nextNumber++;
    request.set_number(number);
    request.set_patient(source.usesLongPoll);
    // While the offset of a relay's clock is unknown, the age of its answer counts from the time of
    // the request, so an immediate reply is requested.
    request.set_prompt(request.prompt() || source.readsImmediately ||
                       relayClocks.count(relay->vm) == 0);
    const bool isImmediateRead = source.readsImmediately && !source.usesLongPoll;
    const Duration maxTimeout = relay->isInOwnZone ? timeout : timeout - RemoteZoneTimeoutReduction;
    const Duration replyTimeout =
        isImmediateRead ? std::min(ImmediateReadTimeout, maxTimeout) : maxTimeout;
    const BootInstant now = bootNow();
    pending[number] = {relay->vm, request, now, now + replyTimeout, std::move(done)};
    peer::v1::Frame frame;
    *frame.mutable_feed_ask() = std::move(request);
    environment.send(relay->vm, frame);
    environment.schedule(replyTimeout, [weak = weak_from_this(), number] {
        if (auto self = weak.lock()) {
            self->fail(number, RowFault::NotDone, "the relay did not answer in time");
        }
    });
}

void RelayedRowStore::State::handleStoreReply(const std::string &table,
                                              const RowResult<RowSet> &result)
{
    const bool isAnswer = result || result.error().fault == RowFault::HistoryGone;
    Source &source = sources[table];
    source.isStoreNext = false;
    source.usesLongPoll = !isAnswer;
    source.readsImmediately = !isAnswer;
}

void RelayedRowStore::State::fail(uint64_t number, RowFault fault, const std::string &what)
{
    const auto it = pending.find(number);
    if (it == pending.end()) {
        return;
    }
    const PendingRequest ended = std::move(it->second);
    pending.erase(it);
    if (fault != RowFault::HistoryGone) {
        Source &source = sources[ended.request.table()];
        const BootInstant now = bootNow();
        source.avoidedUntil[ended.vm] = now + RelayAvoidanceTime;
        source.isStoreNext = source.usesLongPoll || now + ImmediateReadTimeout > ended.deadline;
        source.usesLongPoll = false;
        source.isServedByRelay = false;
        source.readsImmediately = true;
        logEvent("relay.lost", {{"vm", ended.vm}, {"table", ended.request.table()}, {"why", what}});
    }
    ended.done(tl::make_unexpected(RowError{fault, what, {}}));
}

RelayedRowStore::RelayedRowStore(RowStore &direct, RelayedRowStoreEnvironment environment)
    : m_state(std::make_shared<State>(direct, std::move(environment)))
{}

RelayedRowStore::~RelayedRowStore() = default;

void RelayedRowStore::read(RowRange range, Duration timeout,
                           std::function<void(RowResult<RowSet>)> done)
{
    if (!range.from.empty()) {
        m_state->direct.read(std::move(range), timeout, std::move(done));
        return;
    }
    peer::v1::FeedAsk request;
    request.set_table(range.table);
    request.set_whole(true);
    m_state->fetch(std::move(request), timeout, std::move(done), [&](bool, State::Done direct) {
        m_state->direct.read(range, timeout, std::move(direct));
    });
}

void RelayedRowStore::change(RowTransaction transaction, Duration timeout,
                             std::function<void(RowResult<StoreVersion>)> done)
{
    m_state->direct.change(std::move(transaction), timeout, std::move(done));
}

void RelayedRowStore::changesAfter(std::string table, StoreVersion after, Duration wait,
                                   Duration timeout, std::function<void(RowResult<RowSet>)> done)
{
    peer::v1::FeedAsk request;
    request.set_table(table);
    request.set_after(after.number);
    request.set_after_era(after.era);
    request.set_prompt(wait == Duration::zero());
    m_state->fetch(std::move(request), timeout, std::move(done),
                   [&](bool readsImmediately, State::Done direct) {
                       // After a failure a newer proof is needed at once, with or without changes.
                       const Duration feedWait = readsImmediately ? Duration::zero() : wait;
                       m_state->direct.changesAfter(table, after, feedWait,
                                                    timeout - wait + feedWait, std::move(direct));
                   });
}

void RelayedRowStore::handleAnswer(const std::string &vm, const peer::v1::FeedAnswer &answer)
{
    const auto it = m_state->pending.find(answer.number());
    if (it == m_state->pending.end() || it->second.vm != vm) {
        return;
    }
    if (answer.unknown()) {
        m_state->fail(answer.number(), RowFault::NotDone,
                      "the relay can't reach the store or is shutting down");
        return;
    }
    if (answer.history_gone()) {
        m_state->fail(answer.number(), RowFault::HistoryGone,
                      "the relay no longer has the changes since the requested version");
        return;
    }
    const State::PendingRequest pending = std::move(it->second);
    m_state->pending.erase(it);
    State::Source &source = m_state->sources[pending.request.table()];
    source.usesLongPoll = false;
    source.readsImmediately = false;
    source.isServedByRelay = true;
    // A relay that doesn't know eras answers in the era that it was asked about.
    const auto &request = pending.request;
    const uint64_t era = answer.has_era() ? answer.era() : request.after_era();
    RowSet set;
    for (const auto &row : answer.rows()) {
        auto value = row.compressed() ? decompressed(row.value(), MaxValueBytes)
                                      : tl::expected<std::string, std::string>(row.value());
        if (!value) {
            pending.done(tl::make_unexpected(
                RowError{RowFault::BadAnswer,
                         vm + " sent an invalid value of " + row.key() + ": " + value.error(),
                         {}}));
            return;
        }
        set.rows.push_back(
            {request.table(), row.key(), std::move(*value), {era, row.version()}, row.erased()});
    }
    set.version = {era, answer.version()};
    set.carriesOverOtherRows = answer.carries_over();
    const BootInstant answeredAt =
        answerTimeLowerBound(m_state->relayClocks[vm], pending.sentAt,
                             Duration(static_cast<int64_t>(answer.clock_us())), bootNow());
    set.provenAt = answeredAt - Duration(static_cast<int64_t>(answer.proof_age_us()));
    pending.done(request.whole()
                     ? RowResult<RowSet>(std::move(set))
                     : asContinuation(std::move(set), {request.after_era(), request.after()}));
}

void RelayedRowStore::handlePeerLost(const std::string &vm)
{
    std::vector<uint64_t> numbers;
    for (const auto &[number, it] : m_state->pending) {
        if (it.vm == vm) {
            numbers.push_back(number);
        }
    }
    for (const uint64_t number : numbers) {
        m_state->fail(number, RowFault::NotDone, "the link to the relay was lost");
    }
    m_state->relayClocks.erase(vm);
}

} // namespace gentianplank
