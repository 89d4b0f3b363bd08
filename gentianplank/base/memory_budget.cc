#include "gentianplank/base/memory_budget.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace gentianplank {

namespace {

constexpr size_t BytesPerMegabyte = 1024UL * 1024;
constexpr size_t FirstMarkDivisor = 8;
constexpr size_t SecondMarkDivisor = 4;
// Time above the first mark after which large accounts are shed. Statements under way usually end
// sooner and release what is missing.
constexpr Duration TightGrace = std::chrono::milliseconds(200);
// Bounds the time of one sweep; the next one continues.
constexpr size_t MaxShedPerSweep = 64;

// Accounts resume and shedding ends this far below the first mark, so that they don't alternate.
size_t lowMark(const MemoryMarks &marks)
{
    return marks.first - marks.first / 8;
}

} // namespace

std::string_view nameOf(MemoryHolder holder)
{
    constexpr std::array<std::string_view, MemoryHolderCount> names{
        "unread",         "statements",  "session_state", "client_answers",
        "member_answers", "peer_frames", "log_lines"};
    return names[static_cast<size_t>(holder)];
}

MemoryMarks memoryMarks(uint32_t memoryMb)
{
    const size_t all = size_t{memoryMb} * BytesPerMegabyte;
    return {all / FirstMarkDivisor, all / SecondMarkDivisor};
}

std::vector<size_t> selectToShed(std::span<const MemoryUse> uses, size_t excess, bool shedsShielded,
                                 size_t most)
{
    std::map<std::string_view, size_t> byOrganisation;
    std::map<std::string_view, size_t> byAddress;
    std::vector<size_t> candidates;
    for (size_t i = 0; i < uses.size(); ++i) {
        byOrganisation[uses[i].organisation] += uses[i].bytes;
        byAddress[uses[i].address] += uses[i].bytes;
        if (uses[i].bytes > uses[i].keeps && (shedsShielded || !uses[i].isShielded)) {
            candidates.push_back(i);
        }
    }
    // Accounts of an unknown organisation or address don't belong together.
    byOrganisation[""] = 0;
    byAddress[""] = 0;
    const auto rank = [&](size_t i) {
        const MemoryUse &it = uses[i];
        return std::tuple(!it.isShielded, byOrganisation[it.organisation] + byAddress[it.address],
                          it.bytes);
    };
    std::vector<size_t> selected;
    size_t released = 0;
    while (released < excess && !candidates.empty() && selected.size() < most) {
        const auto it = std::max_element(candidates.begin(), candidates.end(),
                                         [&](size_t a, size_t b) { return rank(a) < rank(b); });
        const MemoryUse &use = uses[*it];
        released += use.bytes;
        byOrganisation[use.organisation] -= std::min(byOrganisation[use.organisation], use.bytes);
        byAddress[use.address] -= std::min(byAddress[use.address], use.bytes);
        selected.push_back(*it);
        candidates.erase(it);
    }
    return selected;
}

void MemoryBudget::sweep(Instant now)
{
    const size_t low = lowMark(m_marks);
    if (m_used < low || (!isTight() && m_paused == 0)) {
        m_tightSince = Instant::max();
        if (m_paused > 0) {
            resume();
        }
        return;
    }
    // Accounts that are paused below the first mark wait for memory, too.
    m_tightSince = std::min(m_tightSince, now);
    if (isFull()) {
        shed(m_used - m_marks.first, true);
    } else if (now - m_tightSince >= TightGrace) {
        shed(m_used - low + 1, false);
    }
}

void MemoryBudget::shed(size_t excess, bool shedsShielded)
{
    std::vector<MemoryUse> uses;
    std::vector<MemoryAccount *> accounts;
    for (MemoryAccount *it : m_accounts) {
        if (it->m_bytes > 0 && it->m_handler.onShed) {
            uses.push_back(it->use());
            accounts.push_back(it);
        }
    }
    const std::vector<size_t> selected = selectToShed(uses, excess, shedsShielded, MaxShedPerSweep);
    std::vector<MemoryAccount *> pending;
    for (const size_t i : selected) {
        pending.push_back(accounts[i]);
    }
    for (MemoryAccount *it : pending) {
        // The callback of an earlier one may have destroyed it.
        const bool isKnown =
            std::find(m_accounts.begin(), m_accounts.end(), it) != m_accounts.end();
        if (!isKnown || it->m_bytes <= it->m_keeps) {
            continue;
        }
        ++m_shedCount;
        const auto onShed = it->m_handler.onShed;
        onShed();
    }
}

void MemoryBudget::resume()
{
    std::vector<std::function<void()>> callbacks;
    for (MemoryAccount *it : m_accounts) {
        if (it->m_isPaused) {
            it->setPaused(false);
            callbacks.push_back(it->m_handler.onResume);
        }
    }
    for (const auto &it : callbacks) {
        it();
    }
}

MemoryAccount::MemoryAccount(std::shared_ptr<MemoryBudget> budget, size_t keeps,
                             MemoryAccountHandler handler)
    : m_budget(std::move(budget))
    , m_keeps(keeps)
    , m_handler(std::move(handler))
{
    if (m_budget) {
        m_position = m_budget->m_accounts.insert(m_budget->m_accounts.end(), this);
    }
}

MemoryAccount::~MemoryAccount()
{
    for (size_t i = 0; i < MemoryHolderCount; ++i) {
        set(static_cast<MemoryHolder>(i), 0);
    }
    setPaused(false);
    if (m_budget) {
        m_budget->m_accounts.erase(m_position);
    }
}

void MemoryAccount::setOwner(std::string organisation, std::string address)
{
    m_organisation = std::move(organisation);
    m_address = std::move(address);
}

void MemoryAccount::set(MemoryHolder holder, size_t bytes)
{
    size_t &held = m_byHolder[static_cast<size_t>(holder)];
    if (m_budget) {
        m_budget->m_used = m_budget->m_used - held + bytes;
        size_t &all = m_budget->m_byHolder[static_cast<size_t>(holder)];
        all = all - held + bytes;
    }
    m_bytes = m_bytes - held + bytes;
    held = bytes;
}

bool MemoryAccount::mayRead()
{
    const bool isAllowed = !m_budget || !m_budget->isTight() || m_bytes <= m_keeps;
    setPaused(!isAllowed && m_handler.onResume);
    return isAllowed;
}

MemoryUse MemoryAccount::use() const
{
    return {m_organisation, m_address, m_bytes, m_keeps, m_isShielded};
}

void MemoryAccount::setPaused(bool isPaused)
{
    if (isPaused != m_isPaused && m_budget) {
        m_budget->m_paused += isPaused ? 1 : size_t(-1);
    }
    m_isPaused = isPaused;
}

} // namespace gentianplank
