#include "gentianplank/node/traffic/caller_session_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/http/acknowledged_bytes.h"

namespace gentianplank {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Buffered bytes of one caller above which its connection is not read.
constexpr size_t MaxReadAheadBytes = 2 * platform::MaxMessageBytes;
// Copies of a statement's text and values on the way to the member: router, dispatcher, the line
// for the member or the frame for another VM, and the allocator's share.
constexpr size_t CopiesPerStatement = 4;
// Time for a refused caller to read the refusal. Closing at once, with bytes unread, would reset
// the connection before the refusal is read.
constexpr Duration RefusalTimeout = std::chrono::milliseconds(500);
constexpr size_t MaxDiscardedBytes = platform::MaxMessageBytes;
// Time to send a message, and the rate at which it is prolonged.
constexpr Duration MessageTimeout = std::chrono::seconds(10);
constexpr size_t MessageBytesPerSecond = 16UL * 1024;
// Time without any progress after which an answer counts as not read.
constexpr Duration AnswerTimeout = std::chrono::seconds(10);
// An answer that progresses by as much between two checks is shed only when there is no other way.
constexpr uint64_t ShieldingProgressBytes = 16UL * 1024;
// Answers from this size on are watched; smaller ones fit the system's buffers.
constexpr size_t WatchedAnswerBytes = 64UL * 1024;
// Memory of an entry in a map, apart from its strings' bytes.
constexpr size_t EntryBytes = 128;

size_t bytesOf(const TextSession &session)
{
    size_t bytes = 0;
    for (const auto &[name, value] : session.values) {
        bytes += name.size() + value.size() + EntryBytes;
    }
    for (const auto &[name, statement] : session.prepared) {
        bytes += name.size() + statement.shape.size() + EntryBytes;
    }
    return bytes;
}

} // namespace

std::string_view nameOf(CloseReason reason)
{
    constexpr std::array<std::string_view, CloseReasonCount> names{
        "caller", "refused", "too_big", "message_timeout", "answer_timeout", "memory", "shutdown"};
    return names[static_cast<size_t>(reason)];
}

bool CallerSession::State::mayRead()
{
    if (closesAfterWrite) {
        return discarded <= MaxDiscardedBytes;
    }
    return buffer.size() <= MaxReadAheadBytes && memory.mayRead();
}

void CallerSession::State::updateMemory()
{
    if (isClosed || closesAfterWrite) {
        buffer = platform::LineBuffer(platform::MaxMessageBytes);
    } else if (!isProcessing) {
        buffer.compact();
    }
    if (!isWriting && writeBuffer.capacity() > OrdinaryBytes) {
        writeBuffer = {};
    }
    memory.set(MemoryHolder::Unread, buffer.memory());
    memory.set(MemoryHolder::ClientAnswers, isClosed ? 0 : writeBuffer.capacity());
    memory.set(MemoryHolder::SessionState, stateBytes);
    // A statement under way ends by its deadline; an answer is shielded while it progresses.
    memory.setShielded(isBusy);
    if (isWriting && writeBuffer.size() > WatchedAnswerBytes) {
        watchIfIncomplete();
    }
}

void CallerSession::State::recordStateBytes(const TextStatement &statement)
{
    if (statement.kind != StatementKind::SetValue && statement.kind != StatementKind::Prepare) {
        return;
    }
    stateBytes += statement.name.size() + statement.value.size() + EntryBytes;
    if (stateBytes > recountStateAt) {
        // Counting anew only after the bound has doubled keeps the cost of a statement small.
        stateBytes = database.size() + key.size() + bytesOf(session);
        recountStateAt = std::max(OrdinaryBytes, 2 * stateBytes);
    }
    memory.set(MemoryHolder::SessionState, stateBytes);
}

// Charges the copies of the statement, unless it is large and there is no memory for it.
bool CallerSession::State::admitsCopies(const SessionStep &step, const TextStatement &statement)
{
    const size_t own = statement.text.size() + statement.requestId.size() + stateBytes +
                       (step.prepared ? step.prepared->shape.size() : 0);
    if (own > OrdinaryBytes && !memory.admits(CopiesPerStatement * own)) {
        return false;
    }
    memory.set(MemoryHolder::Statements, CopiesPerStatement * own);
    return true;
}

// Ends the session to release its memory. Only a session without a statement or an answer under way
// can be told.
void CallerSession::State::shed()
{
    if (isClosed || closesAfterWrite) {
        return;
    }
    logEvent("session.refused", {{"session", number},
                                 {"why", "the VM's memory limit is reached"},
                                 {"client", clientAddress},
                                 {"own", memory.bytes()}});
    closeReason = CloseReason::Memory;
    if (isBusy) {
        error_code ec;
        socket.set_option(asio::socket_base::linger(true, 0), ec);
        close("the VM's memory limit is reached");
        return;
    }
    write(platform::encodeError(ErrorCode::TooBig,
                                withRetryHint("unprocessed messages exceed this VM's memory limit",
                                              UnavailableRetryAfter)),
          true);
}

void CallerSession::State::armRefusalTimer()
{
    timer.expires_after(RefusalTimeout);
    timer.async_wait([weak = self](error_code ec) {
        const auto owner = weak.lock();
        if (!ec && owner) {
            owner->m_state->close("refused");
        }
    });
}

// Ignores what a refused caller still sends, and closes the connection when the refusal is written
// and the caller has ended or goes on sending.
void CallerSession::State::discard(error_code ec, size_t n)
{
    hasEnded = hasEnded || ec == asio::error::eof;
    discarded += n;
    const bool hasFailed = ec && ec != asio::error::eof;
    if (hasFailed || (!isWriting && (hasEnded || discarded > MaxDiscardedBytes))) {
        close("refused");
        return;
    }
    if (!hasEnded) {
        read();
    }
}

void CallerSession::State::watchIfIncomplete()
{
    const bool hasPartialMessage = !isBusy && buffer.size() > 0;
    if (isClosed || isWatched || closesAfterWrite || (!isWriting && !hasPartialMessage)) {
        return;
    }
    isWatched = true;
    messageSince = std::nullopt;
    acknowledged = acknowledgedBytes(socket.native_handle());
    acknowledgedAt = steadyNow();
    checkMessage(acknowledgedAt);
    environment.watch(self);
}

// Returns whether a message is incomplete.
bool CallerSession::State::checkMessage(Instant now)
{
    if (isBusy || buffer.size() == 0) {
        messageSince = std::nullopt;
        return false;
    }
    if (!messageSince || memory.isPaused()) {
        messageSince = now;
    }
    if (now - *messageSince >
        MessageTimeout + std::chrono::seconds(buffer.size() / MessageBytesPerSecond)) {
        closeReason = CloseReason::MessageTimeout;
        close("a message was begun and not ended in time");
    }
    return true;
}

// Returns whether an answer is being written.
bool CallerSession::State::checkAnswer(Instant now)
{
    if (!isWriting) {
        return false;
    }
    const uint64_t bytes = acknowledgedBytes(socket.native_handle());
    memory.setShielded(bytes - acknowledged >= ShieldingProgressBytes);
    if (bytes != acknowledged) {
        acknowledged = bytes;
        acknowledgedAt = now;
    }
    if (now - acknowledgedAt > AnswerTimeout) {
        closeReason = CloseReason::AnswerTimeout;
        close("the caller does not read its answers");
    }
    return true;
}

bool CallerSession::checkProgress(Instant now)
{
    State &state = *m_state;
    const bool isIncomplete = !state.isClosed && !state.closesAfterWrite &&
                              (state.checkMessage(now) || state.checkAnswer(now));
    state.isWatched = isIncomplete && !state.isClosed;
    return state.isWatched;
}

} // namespace gentianplank
