#include "gentianplank/node/feed_relay.h"

#include "gentianplank/base/event_log.h"

#include <vector>

namespace gentianplank {

namespace {

// After a relay did not answer, the store is asked for this long.
constexpr Duration DirectPause = std::chrono::seconds(5);

} // namespace

peer::v1::Frame FeedRelay::answerTo(const peer::v1::FeedAsk &ask, const TableFollower &follower)
{
    peer::v1::Frame frame;
    auto *answer = frame.mutable_feed_answer();
    answer->set_number(ask.number());
    const auto changes = follower.changesAfter(ask.after());
    if (!changes || !follower.isReachable()) {
        answer->set_unknown(true);
        return frame;
    }
    for (const StoredRow &it : *changes) {
        auto *row = answer->add_rows();
        row->set_key(it.key);
        row->set_value(it.value);
        row->set_version(it.version);
        row->set_erased(it.erased);
    }
    const BootInstant now = bootNow();
    answer->set_version(follower.version());
    answer->set_clock_us(static_cast<uint64_t>(now.time_since_epoch().count()));
    answer->set_proof_age_us(static_cast<uint64_t>((now - follower.provenAt()).count()));
    return frame;
}

void FeedRelay::ask(const peer::v1::FeedAsk &ask, const TableFollower *follower, Reply reply)
{
    const bool isNews = follower == nullptr || !follower->isReachable() ||
                        follower->version() < ask.after() || !follower->changesAfter(ask.after()) ||
                        !follower->changesAfter(ask.after())->empty();
    if (follower == nullptr) {
        peer::v1::Frame frame;
        frame.mutable_feed_answer()->set_number(ask.number());
        frame.mutable_feed_answer()->set_unknown(true);
        reply(frame);
    } else if (isNews) {
        reply(answerTo(ask, *follower));
    } else {
        m_waiting[ask.table()].push_back({ask, std::move(reply)});
    }
}

void FeedRelay::dismissAll()
{
    const auto waiting = std::move(m_waiting);
    m_waiting.clear();
    for (const auto &[table, asks] : waiting) {
        for (const Waiting &it : asks) {
            peer::v1::Frame frame;
            frame.mutable_feed_answer()->set_number(it.ask.number());
            frame.mutable_feed_answer()->set_unknown(true);
            it.reply(frame);
        }
    }
}

void FeedRelay::advanced(const std::string &table, const TableFollower &follower)
{
    const auto waiting = std::move(m_waiting[table]);
    m_waiting[table].clear();
    for (const Waiting &it : waiting) {
        it.reply(answerTo(it.ask, follower));
    }
}

struct SecondHandRowStore::State : std::enable_shared_from_this<SecondHandRowStore::State>
{
    struct Pending
    {
        std::string vm;
        std::string table;
        BootInstant sentAt{};
        std::function<void(RowResult<RowSet>)> done;
    };

    State(RowStore &store, SecondHandEnvironment callbacks)
        : direct(store)
        , environment(std::move(callbacks))
    {}

    void fail(uint64_t number, const std::string &what)
    {
        const auto it = pending.find(number);
        if (it == pending.end()) {
            return;
        }
        const Pending ended = std::move(it->second);
        pending.erase(it);
        directUntil = bootNow() + DirectPause;
        logEvent("relay.lost", {{"vm", ended.vm}, {"table", ended.table}, {"why", what}});
        ended.done(tl::make_unexpected(RowError{RowFault::NotDone, what, {}}));
    }

    RowStore &direct;
    SecondHandEnvironment environment;
    std::map<uint64_t, Pending> pending;
    uint64_t nextNumber = 1;
    BootInstant directUntil{};
    // How the boot clocks of relays relate to this VM's.
    std::map<std::string, StoreClock> clocks;
};

SecondHandRowStore::SecondHandRowStore(RowStore &direct, SecondHandEnvironment environment)
    : m_state(std::make_shared<State>(direct, std::move(environment)))
{}

SecondHandRowStore::~SecondHandRowStore() = default;

void SecondHandRowStore::read(RowRange range, Duration timeout,
                              std::function<void(RowResult<RowSet>)> done)
{
    m_state->direct.read(std::move(range), timeout, std::move(done));
}

void SecondHandRowStore::change(RowTransaction transaction, Duration timeout,
                                std::function<void(RowResult<uint64_t>)> done)
{
    m_state->direct.change(std::move(transaction), timeout, std::move(done));
}

void SecondHandRowStore::changesAfter(std::string table, uint64_t after, Duration wait,
                                      Duration timeout, std::function<void(RowResult<RowSet>)> done)
{
    const auto relay =
        bootNow() < m_state->directUntil ? std::nullopt : m_state->environment.relay();
    if (!relay) {
        m_state->direct.changesAfter(std::move(table), after, wait, timeout, std::move(done));
        return;
    }
    const uint64_t number = m_state->nextNumber++;
    m_state->pending[number] = {*relay, table, bootNow(), std::move(done)};
    peer::v1::Frame frame;
    frame.mutable_feed_ask()->set_number(number);
    frame.mutable_feed_ask()->set_table(table);
    frame.mutable_feed_ask()->set_after(after);
    m_state->environment.send(*relay, frame);
    m_state->environment.schedule(timeout, [weak = m_state->weak_from_this(), number] {
        if (auto self = weak.lock()) {
            self->fail(number, "no answer in time");
        }
    });
}

void SecondHandRowStore::takeAnswer(const std::string &vm, const peer::v1::FeedAnswer &answer)
{
    const auto it = m_state->pending.find(answer.number());
    if (it == m_state->pending.end() || it->second.vm != vm) {
        return;
    }
    if (answer.unknown()) {
        m_state->fail(answer.number(), "the relay does not know");
        return;
    }
    const State::Pending pending = std::move(it->second);
    m_state->pending.erase(it);
    RowSet set;
    for (const auto &row : answer.rows()) {
        set.rows.push_back({pending.table, row.key(), row.value(), row.version(), row.erased()});
    }
    set.version = answer.version();
    const BootInstant answeredAt =
        answeredNotBefore(m_state->clocks[vm], pending.sentAt,
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
        m_state->fail(number, "the link broke");
    }
    m_state->clocks.erase(vm);
}

} // namespace gentianplank
