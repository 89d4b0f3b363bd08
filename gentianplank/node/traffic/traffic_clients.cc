// Callers' connections: acceptance, and the limits of memory and time.
#include "gentianplank/node/traffic/traffic_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/http/endpoint.h"

#include <boost/asio/post.hpp>

#include <malloc.h>
#include <sys/resource.h>

namespace gentianplank {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Resolution of the deadlines for messages and answers.
constexpr Duration WatchInterval = std::chrono::seconds(1);
// Returning memory to the system takes milliseconds, so it is rare, and done only after a large
// fall.
constexpr Duration TrimInterval = std::chrono::seconds(2);
// Accept resumes this far below the second mark, so that it doesn't alternate.
constexpr size_t AcceptResumeBytes = 2UL * 1024 * 1024;
constexpr size_t TrimBytes = 8UL * 1024 * 1024;

} // namespace

// Applies the settings' limits, with the descriptors that the process really may open.
void Traffic::State::applyClientLimits()
{
    EntryVmSettings usable = settings;
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < usable.fileDescriptors) {
        usable.fileDescriptors = static_cast<uint32_t>(limit.rlim_cur);
    }
    clientLimit = maxCallers(usable);
    memory->setMarks(memoryMarks(settings.memoryMb));
}

void Traffic::State::createClientLimits()
{
    applyClientLimits();
    sessionEnvironment.memory = memory;
    sessionEnvironment.watch = [this](std::weak_ptr<CallerSession> session) {
        watchedSessions.push_back(std::move(session));
    };
    sessionEnvironment.onClosed = [this](uint64_t session, CloseReason reason) {
        ++closedSessions[static_cast<size_t>(reason)];
        asio::post(ioContext, [this, session] {
            const auto it = sessions.find(session);
            if (it != sessions.end()) {
                connectionShares.remove(it->second->clientAddress());
                sessions.erase(it);
            }
        });
    };
}

void Traffic::State::acceptCaller(asio::ip::tcp::socket socket)
{
    error_code ec;
    const std::string address = socket.remote_endpoint(ec).address().to_string();
    if (!connectionShares.mayConnect(address, clientLimit)) {
        logEvent(
            "session.refused",
            {{"why", "session limit reached"}, {"client", address}, {"open", sessions.size()}});
        resetSocket(socket);
        return;
    }
    const uint64_t number = nextSession++;
    auto session = std::make_shared<CallerSession>(std::move(socket), number, sessionEnvironment);
    sessions[number] = session;
    session->start();
    connectionShares.add(session->clientAddress());
}

// Whether more callers are accepted.
bool Traffic::State::acceptsCallers() const
{
    return !isAcceptPaused && sessions.size() < clientLimit;
}

ClientUse Traffic::State::clientUse() const
{
    ClientUse use{{}, closedSessions, sessions.size(), isAcceptPaused};
    for (size_t i = 0; i < MemoryHolderCount; ++i) {
        use.bytes[i] = memory->used(static_cast<MemoryHolder>(i));
    }
    return use;
}

void Traffic::State::enforceClientLimits(Instant now)
{
    memory->sweep(now);
    const bool pausesAccept =
        memory->isFull() || (isAcceptPaused && !memory->admits(AcceptResumeBytes));
    if (isAcceptPaused != pausesAccept) {
        isAcceptPaused = pausesAccept;
        logEvent(isAcceptPaused ? "accept.paused" : "accept.resumed",
                 {{"bytes", memory->used()}, {"sessions", sessions.size()}});
        if (isAcceptPaused) {
            callerListener.pause();
        } else {
            callerListener.resume();
        }
    }
    if (now - watchedAt >= WatchInterval) {
        watchedAt = now;
        logMemory.set(MemoryHolder::LogLines, queuedLogBytes());
        for (auto &it : std::exchange(watchedSessions, {})) {
            const auto session = it.lock();
            if (session && session->checkProgress(now)) {
                watchedSessions.push_back(std::move(it));
            }
        }
    }
    trimMemory(now);
}

// Returns freed memory to the system after much of it was released.
void Traffic::State::trimMemory(Instant now)
{
    const size_t used = memory->used();
    peakMemory = std::max(peakMemory, used);
    if (peakMemory - used < TrimBytes || now - trimmedAt < TrimInterval) {
        return;
    }
    trimmedAt = now;
    peakMemory = used;
    ::malloc_trim(0);
}

} // namespace gentianplank
