// One budget for the memory that clients, peers and members can make this process hold. Holders
// record their bytes in accounts; above the first mark large accounts stop reading, and when that
// does not help, or above the second mark, the largest are shed.
//
//     auto budget = std::make_shared<MemoryBudget>(memoryMarks(settings.memoryMb));
//     MemoryAccount account(budget, OrdinaryBytes, {onShed, onResume});
//     account.set(MemoryHolder::Unread, buffer.memory());
//     if (!account.mayRead()) { return; }
//     budget->sweep(steadyNow());
#pragma once

#include "gentianplank/base/time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// What the bytes of an account are.
enum class MemoryHolder {
    // Received from clients and not yet handled.
    Unread,
    // Statements in router, dispatchers and links, with their copies.
    Statements,
    // Session values and prepared statements.
    SessionState,
    // Answers that clients have not read yet.
    ClientAnswers,
    // Answers that are arriving from members.
    MemberAnswers,
    // Frames from and to other VMs.
    PeerFrames,
    // Log lines that are not written yet.
    LogLines,
};
inline constexpr size_t MemoryHolderCount = 7;

// Returns the name of a holder in metrics.
std::string_view nameOf(MemoryHolder holder);

// What a client may hold at any time: larger than nearly all messages and answers.
inline constexpr size_t OrdinaryBytes = 16UL * 1024;

struct MemoryMarks
{
    // From here on, accounts that hold more than they keep stop reading.
    size_t first = std::numeric_limits<size_t>::max();
    // From here on, the largest accounts are shed and no clients are accepted.
    size_t second = std::numeric_limits<size_t>::max();
};

// Returns the marks of a process that may use `memoryMb` megabytes: an eighth and a quarter of it.
// The rest is for the program, its connections (about 5 KiB each), copies of messages while they
// are encoded, and the allocator. Thread-safe.
MemoryMarks memoryMarks(uint32_t memoryMb);

// The use of one account, as input of the choice of those to shed.
struct MemoryUse
{
    // Empty if unknown.
    std::string_view organisation;
    std::string_view address;
    size_t bytes = 0;
    // Accounts that don't hold more than this are not shed.
    size_t keeps = OrdinaryBytes;
    // Shed only when no unshielded account is left.
    bool isShielded = false;
};

// Returns the indices of the accounts to shed, first one first, until they hold `excess` bytes
// together: of the organisation and address that hold most, the largest. Returns at most `most`.
// Thread-safe.
std::vector<size_t> selectToShed(std::span<const MemoryUse> uses, size_t excess, bool shedsShielded,
                                 size_t most);

class MemoryAccount;

// Not thread-safe: belongs to the traffic thread.
class MemoryBudget
{
public:
    explicit MemoryBudget(MemoryMarks marks = {})
        : m_marks(marks)
    {}

    void setMarks(MemoryMarks marks) { m_marks = marks; }
    size_t used() const { return m_used; }
    size_t used(MemoryHolder holder) const { return m_byHolder[static_cast<size_t>(holder)]; }
    bool isTight() const { return m_used >= m_marks.first; }
    bool isFull() const { return m_used >= m_marks.second; }
    // Whether `bytes` more would stay below the second mark.
    bool admits(size_t bytes) const
    {
        return m_used < m_marks.second && bytes <= m_marks.second - m_used;
    }
    // Number of accounts shed since the start.
    uint64_t shedCount() const { return m_shedCount; }

    // Sheds accounts and resumes those that stopped reading. Call it at least every 50 ms.
    void sweep(Instant now);

private:
    friend class MemoryAccount;
    void shed(size_t excess, bool shedsShielded);
    void resume();

    MemoryMarks m_marks;
    size_t m_used = 0;
    std::array<size_t, MemoryHolderCount> m_byHolder{};
    std::list<MemoryAccount *> m_accounts;
    // Since when the use has been above the first mark.
    Instant m_tightSince = Instant::max();
    // Accounts that stopped reading; a count only, as they are few among m_accounts when it is 0.
    size_t m_paused = 0;
    uint64_t m_shedCount = 0;
};

// Callbacks of an account; either may be empty. Only onShed may destroy accounts.
struct MemoryAccountHandler
{
    // Must release the account's bytes now or soon. An account without it is never shed.
    std::function<void()> onShed;
    // The account may read again.
    std::function<void()> onResume;
};

// The bytes of one session, link or statement. Not thread-safe.
class MemoryAccount
{
public:
    // Without a budget, the account counts for itself only.
    MemoryAccount(std::shared_ptr<MemoryBudget> budget, size_t keeps, MemoryAccountHandler handler);
    ~MemoryAccount();
    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    void setOwner(std::string organisation, std::string address);
    // Sets the bytes that the account holds of one kind.
    void set(MemoryHolder holder, size_t bytes);
    size_t bytes() const { return m_bytes; }
    // A shielded account is shed only above the second mark.
    void setShielded(bool isShielded) { m_isShielded = isShielded; }

    // Whether the account may read more bytes now. If not, onResume is called once it may.
    bool mayRead();
    bool isPaused() const { return m_isPaused; }
    bool admits(size_t bytes) const { return !m_budget || m_budget->admits(bytes); }

private:
    friend class MemoryBudget;
    MemoryUse use() const;
    void setPaused(bool isPaused);

    std::shared_ptr<MemoryBudget> m_budget;
    std::list<MemoryAccount *>::iterator m_position;
    size_t m_keeps;
    MemoryAccountHandler m_handler;
    std::string m_organisation;
    std::string m_address;
    std::array<size_t, MemoryHolderCount> m_byHolder{};
    size_t m_bytes = 0;
    bool m_isShielded = false;
    bool m_isPaused = false;
};

} // namespace gentianplank
