#include "gentianplank/node/control/feed_relay.h"

#include "gentianplank/base/compression.h"
#include "gentianplank/base/event_log.h"

#include <utility>
#include <vector>

namespace gentianplank {

namespace {

// A relay that failed is passed over for this long: several times what a process needs to start
// anew.
constexpr Duration AvoidPause = std::chrono::seconds(5);
// How long a relay may take that answers with what it knows: it may just have lost its own, and
// finds another or says so within half a second.
constexpr Duration PromptPatience = std::chrono::milliseconds(600);
// Asks that wait for one table: several of each VM of a large zone. The oldest are dropped; who
// asked has given them up by then.
constexpr size_t MostWaiting = 2000;
// After so many relays failed, the store is asked: each try takes some of a proof's time.
constexpr size_t MostFailedRelays = 2;
// A relay of another zone is given up this much earlier than the follower's limit, so that its own
// followers hear from this VM before they give it up.
constexpr Duration FarRelayHaste = std::chrono::milliseconds(400);

// Smaller values gain little by compression.
constexpr size_t LargeValue = 2UL * 1024;
// The store takes at most 1 MB in a call.
constexpr size_t LargestValue = 1024UL * 1024;

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
    added->set_version(row.version);
    added->set_erased(row.erased);
    if (row.value.size() < LargeValue) {
        added->set_value(row.value);
        return;
    }
    PackedValue &packed = m_packed[{row.table, row.key}];
    if (packed.version != row.version) {
        packed = {row.version, compressed(row.value)};
    }
    added->set_value(packed.bytes);
    added->set_compressed(true);
}

peer::v1::Frame FeedRelay::answerTo(const peer::v1::FeedAsk &ask, const TableFollower &follower)
{
    peer::v1::Frame frame;
    auto *answer = frame.mutable_feed_answer();
    answer->set_number(ask.number());
    if (ask.whole()) {
        for (const auto &[key, row] : follower.rows()) {
            addRow(row, answer);
        }
    } else {
        const auto changes = follower.changesAfter(ask.after());
        if (!changes) {
            answer->set_history_gone(true);
            return frame;
        }
        for (const StoredRow &it : *changes) {
            addRow(it, answer);
        }
    }
    const BootInstant now = bootNow();
    answer->set_version(follower.version());
    answer->set_clock_us(static_cast<uint64_t>(now.time_since_epoch().count()));
    answer->set_proof_age_us(static_cast<uint64_t>((now - follower.provenAt()).count()));
    return frame;
}

void FeedRelay::ask(const peer::v1::FeedAsk &ask, const TableFollower *follower, Reply reply)
{
    if (follower == nullptr || m_isRetired) {
        reply(unknownAnswer(ask.number()));
        return;
    }
    const bool isReachable = follower->isReachable();
    // A VM that has just started will know soon.
    const bool hasRows = follower->provenAt() != BootInstant{};
    if (!isReachable && hasRows && !ask.patient() && m_lost.count(ask.table()) != 0) {
        reply(unknownAnswer(ask.number()));
        return;
    }
    // Who knows more than this VM would ask again at once, for as long as that is so.
    const bool isAhead = ask.after() > follower->version();
    const bool isNews =
        ask.whole() || ask.prompt() || (!isAhead && !follower->isUnchangedSince(ask.after()));
    if (isReachable && isNews) {
        reply(answerTo(ask, *follower));
        return;
    }
    auto &waiting = m_waiting[ask.table()];
    waiting.push_back({ask, std::move(reply)});
    if (waiting.size() > MostWaiting) {
        waiting.erase(waiting.begin());
    }
}

void FeedRelay::dismiss(const std::string &table)
{
    m_lost.insert(table);
    auto &waiting = m_waiting[table];
    std::vector<Waiting> dismissed;
    std::erase_if(waiting, [&](Waiting &it) {
        const bool isPatient = it.ask.patient();
        if (!isPatient) {
            dismissed.push_back(std::move(it));
        }
        return !isPatient;
    });
    for (const Waiting &it : dismissed) {
        it.reply(unknownAnswer(it.ask.number()));
    }
}

void FeedRelay::retire()
{
    m_isRetired = true;
    for (const auto &[table, waiting] : std::exchange(m_waiting, {})) {
        for (const Waiting &it : waiting) {
            it.reply(unknownAnswer(it.ask.number()));
        }
    }
}

void FeedRelay::advanced(const std::string &table, const TableFollower &follower)
{
    m_lost.erase(table);
    const auto waiting = std::move(m_waiting[table]);
    m_waiting[table].clear();
    for (const Waiting &it : waiting) {
        it.reply(answerTo(it.ask, follower));
    }
}

struct SecondHandRowStore::State : std::enable_shared_from_this<SecondHandRowStore::State>
{
    using Done = std::function<void(RowResult<RowSet>)>;

    struct Pending
    {
        std::string vm;
        peer::v1::FeedAsk ask;
        BootInstant sentAt{};
        BootInstant givenUpAt{};
        Done done;
    };

    // Where one table's rows come from.
    struct Source
    {
        std::map<std::string, BootInstant> avoidedUntil;
        // There is no time to try another relay before the store answers.
        bool asksStore = false;
        // Neither relays nor the store answered.
        bool isPatient = false;
        // The last answer came from a relay; it is asked again though others failed before.
        bool isServed = false;
        // Since the last ask failed, some of the proof's time is used up.
        bool isPrompt = false;
    };

    State(RowStore &store, SecondHandEnvironment callbacks)
        : direct(store)
        , environment(std::move(callbacks))
    {}

    std::optional<RelayChoice> relayOf(Source &source) const;
    // Asks a relay if there is one. Calls `askStore` otherwise.
    void ask(peer::v1::FeedAsk ask, Duration timeout, Done done,
             const std::function<void(bool isPrompt, Done)> &askStore);
    void takeStoreAnswer(const std::string &table, const RowResult<RowSet> &result);
    void fail(uint64_t number, RowFault fault, const std::string &what);

    RowStore &direct;
    SecondHandEnvironment environment;
    std::map<std::string, Source> sources;
    std::map<uint64_t, Pending> pending;
    uint64_t nextNumber = 1;
    // How the boot clocks of relays relate to this VM's.
    std::map<std::string, StoreClock> clocks;
};

std::optional<RelayChoice> SecondHandRowStore::State::relayOf(Source &source) const
{
    const BootInstant now = bootNow();
    std::erase_if(source.avoidedUntil, [now](const auto &it) { return it.second <= now; });
    if (!source.isPatient && !source.isServed &&
        (source.asksStore || source.avoidedUntil.size() >= MostFailedRelays)) {
        return std::nullopt;
    }
    std::set<std::string> avoided;
    for (const auto &[vm, until] : source.avoidedUntil) {
        avoided.insert(vm);
    }
    return environment.relay(avoided);
}

void SecondHandRowStore::State::ask(peer::v1::FeedAsk ask, Duration timeout, Done done,
                                    const std::function<void(bool isPrompt, Done)> &askStore)
{
    Source &source = sources[ask.table()];
    const auto relay = relayOf(source);
    if (!relay) {
        askStore(source.isPrompt, [weak = weak_from_this(), table = ask.table(),
                                   done = std::move(done)](RowResult<RowSet> result) {
            if (const auto self = weak.lock()) {
                self->takeStoreAnswer(table, result);
            }
            done(std::move(result));
        });
        return;
    }
    const uint64_t number = nextNumber++;
    ask.set_number(number);
    ask.set_patient(source.isPatient);
    // While a relay's clock is unknown, its answer counts from the ask on.
    ask.set_prompt(ask.prompt() || source.isPrompt || clocks.count(relay->vm) == 0);
    const bool answersAtOnce = source.isPrompt && !source.isPatient;
    const Duration longest = relay->isInOwnZone ? timeout : timeout - FarRelayHaste;
    const Duration patience = answersAtOnce ? std::min(PromptPatience, longest) : longest;
    const BootInstant now = bootNow();
    pending[number] = {relay->vm, ask, now, now + patience, std::move(done)};
    peer::v1::Frame frame;
    *frame.mutable_feed_ask() = std::move(ask);
    environment.send(relay->vm, frame);
    environment.schedule(patience, [weak = weak_from_this(), number] {
        if (auto self = weak.lock()) {
            self->fail(number, RowFault::NotDone, "no answer in time");
        }
    });
}

void SecondHandRowStore::State::takeStoreAnswer(const std::string &table,
                                                const RowResult<RowSet> &result)
{
    const bool isAnswer = result || result.error().fault == RowFault::HistoryGone;
    Source &source = sources[table];
    source.asksStore = false;
    source.isPatient = !isAnswer;
    source.isPrompt = !isAnswer;
}

void SecondHandRowStore::State::fail(uint64_t number, RowFault fault, const std::string &what)
{
    const auto it = pending.find(number);
    if (it == pending.end()) {
        return;
    }
    const Pending ended = std::move(it->second);
    pending.erase(it);
    if (fault != RowFault::HistoryGone) {
        Source &source = sources[ended.ask.table()];
        const BootInstant now = bootNow();
        source.avoidedUntil[ended.vm] = now + AvoidPause;
        source.asksStore = source.isPatient || now + PromptPatience > ended.givenUpAt;
        source.isPatient = false;
        source.isServed = false;
        source.isPrompt = true;
        logEvent("relay.lost", {{"vm", ended.vm}, {"table", ended.ask.table()}, {"why", what}});
    }
    ended.done(tl::make_unexpected(RowError{fault, what, {}}));
}

SecondHandRowStore::SecondHandRowStore(RowStore &direct, SecondHandEnvironment environment)
    : m_state(std::make_shared<State>(direct, std::move(environment)))
{}

SecondHandRowStore::~SecondHandRowStore() = default;

void SecondHandRowStore::read(RowRange range, Duration timeout,
                              std::function<void(RowResult<RowSet>)> done)
{
    if (!range.from.empty()) {
        m_state->direct.read(std::move(range), timeout, std::move(done));
        return;
    }
    peer::v1::FeedAsk ask;
    ask.set_table(range.table);
    ask.set_whole(true);
    m_state->ask(std::move(ask), timeout, std::move(done), [&](bool, State::Done direct) {
        m_state->direct.read(range, timeout, std::move(direct));
    });
}

void SecondHandRowStore::change(RowTransaction transaction, Duration timeout,
                                std::function<void(RowResult<uint64_t>)> done)
{
    m_state->direct.change(std::move(transaction), timeout, std::move(done));
}

void SecondHandRowStore::changesAfter(std::string table, uint64_t after, Duration wait,
                                      Duration timeout, std::function<void(RowResult<RowSet>)> done)
{
    peer::v1::FeedAsk ask;
    ask.set_table(table);
    ask.set_after(after);
    ask.set_prompt(wait == Duration::zero());
    m_state->ask(std::move(ask), timeout, std::move(done), [&](bool isPrompt, State::Done direct) {
        // After a failure a proof is wanted at once, with or without changes.
        const Duration longest = isPrompt ? Duration::zero() : wait;
        m_state->direct.changesAfter(table, after, longest, timeout - wait + longest,
                                     std::move(direct));
    });
}

void SecondHandRowStore::takeAnswer(const std::string &vm, const peer::v1::FeedAnswer &answer)
{
    const auto it = m_state->pending.find(answer.number());
    if (it == m_state->pending.end() || it->second.vm != vm) {
        return;
    }
    if (answer.unknown()) {
        m_state->fail(answer.number(), RowFault::NotDone, "the relay does not know");
        return;
    }
    if (answer.history_gone()) {
        m_state->fail(answer.number(), RowFault::HistoryGone, "the relay's history is shorter");
        return;
    }
    const State::Pending pending = std::move(it->second);
    m_state->pending.erase(it);
    State::Source &source = m_state->sources[pending.ask.table()];
    source.isPatient = false;
    source.isPrompt = false;
    source.isServed = true;
    RowSet set;
    for (const auto &row : answer.rows()) {
        auto value = row.compressed() ? decompressed(row.value(), LargestValue)
                                      : tl::expected<std::string, std::string>(row.value());
        if (!value) {
            pending.done(tl::make_unexpected(RowError{
                RowFault::BadAnswer, vm + " sent " + row.key() + ": " + value.error(), {}}));
            return;
        }
        set.rows.push_back(
            {pending.ask.table(), row.key(), std::move(*value), row.version(), row.erased()});
    }
    set.version = answer.version();
    const BootInstant answeredAt =
        answerTimeLowerBound(m_state->clocks[vm], pending.sentAt,
                             Duration(static_cast<int64_t>(answer.clock_us())), bootNow());
    set.provenAt = answeredAt - Duration(static_cast<int64_t>(answer.proof_age_us()));
    pending.done(std::move(set));
}

void SecondHandRowStore::peerLost(const std::string &vm)
{
    std::vector<uint64_t> numbers;
    for (const auto &[number, it] : m_state->pending) {
        if (it.vm == vm) {
            numbers.push_back(number);
        }
    }
    for (const uint64_t number : numbers) {
        m_state->fail(number, RowFault::NotDone, "the link broke");
    }
    m_state->clocks.erase(vm);
}

} // namespace gentianplank
