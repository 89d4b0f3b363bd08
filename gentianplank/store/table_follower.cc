#include "gentianplank/store/table_follower.h"

#include <algorithm>
#include <deque>
#include <set>

namespace gentianplank {

namespace {

// Answers with changes in a second that are followed up at once.
constexpr size_t CalmChanges = 4;
// An answer without changes proves what was so when it was made; a proof that is older when it
// comes counts from the call, since no short one showed the store's clock of late.
constexpr Duration OldProof = std::chrono::milliseconds(700);
// Changes that are kept for others who follow at second hand; several times what a storm brings
// while one of them is away.
constexpr size_t LongestHistory = 500;

} // namespace

struct TableFollower::State : std::enable_shared_from_this<TableFollower::State>
{
    State(RowStore &rowStore, Scheduler runLater, std::string name, TableFollowerSettings figures,
          TableFollowerListener callbacks)
        : store(rowStore)
        , scheduler(std::move(runLater))
        , table(std::move(name))
        , settings(std::move(figures))
        , listener(std::move(callbacks))
        , pause(settings.shortestPause)
    {}

    // Reads the whole table, page by page. The rows of the first page were read first, so changes
    // after its version are asked for next; applying one twice changes nothing.
    void readAll()
    {
        pages.clear();
        readPage("");
    }

    void readPage(const std::string &from)
    {
        auto weak = weak_from_this();
        store.read({table, from}, settings.wait + settings.patience,
                   [weak](RowResult<RowSet> result) {
                       if (auto self = weak.lock()) {
                           self->takePage(std::move(result));
                       }
                   });
    }

    void takePage(RowResult<RowSet> result)
    {
        if (!result) {
            retry(result.error().what);
            return;
        }
        const bool isFirst = pages.empty();
        if (isFirst) {
            firstPageVersion = result->version;
            firstPageAt = result->provenAt;
        }
        const bool hasMore = result->hasMore && !result->rows.empty();
        const std::string next = hasMore ? result->rows.back().key + '\0' : "";
        pages.insert(pages.end(), result->rows.begin(), result->rows.end());
        if (hasMore) {
            readPage(next);
            return;
        }
        replaceAll();
        forgetHistory();
        version = firstPageVersion;
        prove(firstPageAt);
        const bool isFirstReading = !hasBeenRead;
        hasBeenRead = true;
        const bool mayPause = isFirstReading && settings.delayAfterFirstRead;
        followAfter(mayPause ? settings.delayAfterFirstRead() : Duration::zero());
    }

    void followAfter(Duration pauseBefore)
    {
        if (pauseBefore <= Duration::zero()) {
            follow();
            return;
        }
        auto weak = weak_from_this();
        scheduler(pauseBefore, [weak] {
            if (auto self = weak.lock()) {
                self->follow();
            }
        });
    }

    void replaceAll()
    {
        std::set<std::string> present;
        for (const StoredRow &it : pages) {
            present.insert(it.key);
        }
        std::vector<StoredRow> changes;
        for (const auto &[key, row] : rows) {
            if (present.count(key) == 0) {
                changes.push_back({table, key, "", firstPageVersion, true});
            }
        }
        changes.insert(changes.end(), pages.begin(), pages.end());
        pages.clear();
        apply(std::move(changes));
    }

    void follow()
    {
        auto weak = weak_from_this();
        const Duration wait = isProofWanted ? Duration::zero() : settings.wait;
        store.changesAfter(table, version, wait, wait + settings.patience,
                           [weak](RowResult<RowSet> result) {
                               if (auto self = weak.lock()) {
                                   self->takeChanges(std::move(result));
                               }
                           });
    }

    void takeChanges(RowResult<RowSet> result)
    {
        if (!result && result.error().fault == RowFault::HistoryGone) {
            listener.onReachable(true, "the store dropped its history; the table is read again");
            readAll();
            return;
        }
        if (!result) {
            retry(result.error().what);
            return;
        }
        version = std::max(version, result->version);
        const BootInstant at = result->provenAt;
        const bool hasChanges = !result->rows.empty();
        const bool isCut = result->hasMore;
        apply(std::move(result->rows));
        if (isCut) {
            follow();
            return;
        }
        prove(at);
        // One short call shows it, or nothing does.
        isProofWanted = !isProofWanted && bootNow() - at > OldProof;
        followAfter(hasChanges ? pauseAfterChanges() : Duration::zero());
    }

    // How long to let changes gather: they came right after the start, or more than a few within
    // the last second.
    Duration pauseAfterChanges()
    {
        const BootInstant now = bootNow();
        if (now - startedAt < settings.startupPeriod) {
            return settings.startPace;
        }
        changedAt.push_back(now);
        while (now - changedAt.front() > std::chrono::seconds(1)) {
            changedAt.pop_front();
        }
        return changedAt.size() > CalmChanges ? settings.pace : Duration::zero();
    }

    void apply(std::vector<StoredRow> changes)
    {
        std::erase_if(changes, [this](const StoredRow &it) {
            const auto known = rows.find(it.key);
            if (known == rows.end()) {
                return it.erased;
            }
            return it.version <= known->second.version;
        });
        keepNewest(changes);
        for (const StoredRow &it : changes) {
            if (it.erased) {
                rows.erase(it.key);
            } else {
                rows[it.key] = it;
            }
            remember(it);
        }
        if (!changes.empty()) {
            listener.onChanges(changes);
        }
    }

    // Of a row that changed several times, what it was in between matters to nobody.
    static void keepNewest(std::vector<StoredRow> &changes)
    {
        std::map<std::string, uint64_t> newest;
        for (const StoredRow &it : changes) {
            uint64_t &last = newest[it.key];
            last = std::max(last, it.version);
        }
        std::erase_if(changes, [&](const StoredRow &it) { return it.version < newest[it.key]; });
    }

    void remember(const StoredRow &row)
    {
        uint64_t &known = historyOf[row.key];
        history.erase(known);
        known = row.version;
        history[known] = row;
        if (history.size() > LongestHistory) {
            const auto oldest = history.begin();
            historyAfter = oldest->first;
            historyOf.erase(oldest->second.key);
            history.erase(oldest);
        }
    }

    bool knowsChangesAfter(uint64_t after) const { return version != 0 && after >= historyAfter; }

    void forgetHistory()
    {
        history.clear();
        historyOf.clear();
        historyAfter = firstPageVersion;
    }

    void prove(BootInstant at)
    {
        pause = settings.shortestPause;
        provenAt = std::max(provenAt, at);
        if (!isReachable) {
            isReachable = true;
            listener.onReachable(true, "table " + table + " is followed");
        }
        listener.onUpToDate(provenAt);
    }

    void retry(const std::string &what)
    {
        isProofWanted = false;
        if (isReachable) {
            isReachable = false;
            listener.onReachable(false, what);
        }
        auto weak = weak_from_this();
        scheduler(pause, [weak] {
            if (auto self = weak.lock()) {
                if (self->version == 0) {
                    self->readAll();
                } else {
                    self->follow();
                }
            }
        });
        pause = std::min(pause * 2, settings.longestPause);
    }

    RowStore &store;
    Scheduler scheduler;
    std::string table;
    TableFollowerSettings settings;
    TableFollowerListener listener;
    Duration pause;
    std::map<std::string, StoredRow> rows;
    std::vector<StoredRow> pages;
    uint64_t firstPageVersion = 0;
    BootInstant firstPageAt{};
    uint64_t version = 0;
    BootInstant provenAt{};
    bool isReachable = false;
    bool isProofWanted = false;
    bool hasBeenRead = false;
    BootInstant startedAt{};
    std::deque<BootInstant> changedAt;
    // The newest change of each row that changed after `historyAfter`, by version, and the version
    // by key.
    std::map<uint64_t, StoredRow> history;
    std::map<std::string, uint64_t> historyOf;
    uint64_t historyAfter = 0;
};

TableFollower::TableFollower(RowStore &store, Scheduler scheduler, std::string table,
                             TableFollowerSettings settings, TableFollowerListener listener)
    : m_state(std::make_shared<State>(store, std::move(scheduler), std::move(table),
                                      std::move(settings), std::move(listener)))
{}

TableFollower::~TableFollower() = default;

void TableFollower::start()
{
    m_state->startedAt = bootNow();
    m_state->readAll();
}

const std::map<std::string, StoredRow> &TableFollower::rows() const
{
    return m_state->rows;
}

BootInstant TableFollower::provenAt() const
{
    return m_state->provenAt;
}

std::optional<std::vector<StoredRow>> TableFollower::changesAfter(uint64_t version) const
{
    if (!m_state->knowsChangesAfter(version)) {
        return std::nullopt;
    }
    std::vector<StoredRow> changes;
    for (auto it = m_state->history.upper_bound(version); it != m_state->history.end(); ++it) {
        changes.push_back(it->second);
    }
    return changes;
}

bool TableFollower::isUnchangedSince(uint64_t version) const
{
    const auto &history = m_state->history;
    return m_state->knowsChangesAfter(version) && history.upper_bound(version) == history.end();
}

uint64_t TableFollower::version() const
{
    return m_state->version;
}

bool TableFollower::isReachable() const
{
    return m_state->isReachable;
}

} // namespace gentianplank
