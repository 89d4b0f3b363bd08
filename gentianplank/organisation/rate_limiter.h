// Keeps each organisation within its rate and burst. Admits statements by this VM's quota slices,
// and lets a statement wait for a bounded time while a token may still arrive.
//
//     RateLimiter limiter;
//     limiter.setIncarnation({"vm-1", incarnation}, now);                       // control thread
//     for (DueSliceRequest &it : limiter.dueRequests(now)) { send(it); }        // control thread
//     limiter.onReply("dredge-co", reply, now);                                 // control thread
//     if (auto refusal = limiter.acquire("dredge-co", deadline)) { return *refusal; }  // traffic
#pragma once

#include "gentianplank/base/refusal.h"
#include "gentianplank/organisation/quota_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// A request to the primary or the backup owner of an organisation's rate.
struct DueSliceRequest
{
    std::string organisation;
    SliceRequest request;
    bool toBackup = false;
};

// Thread-safe.
class RateLimiter
{
public:
    RateLimiter();
    ~RateLimiter();

    // Sets this VM's current incarnation. All slices of an earlier incarnation end.
    void setIncarnation(const VmIncarnation &self, Instant now);

    // Sets a callback that runs, on any thread, when a statement starts to wait. Call before any
    // acquire().
    void setWakeUp(std::function<void()> wakeUp);

    // Takes one token for a statement of the organisation. Blocks while a reply of an owner may
    // still bring a token, at most until the deadline. Returns nothing if the statement is
    // admitted, otherwise a refusal with outcome "not run" and a retry hint.
    std::optional<Refusal> acquire(std::string_view organisation, Instant deadline);

    // Returns the requests to send now, serves waiting statements, and drops idle organisations.
    std::vector<DueSliceRequest> dueRequests(Instant now);

    // Returns all slices, for a shutdown. The result holds the requests that inform the owners.
    std::vector<DueSliceRequest> release(Instant now);

    void onReply(std::string_view organisation, const SliceReply &reply, Instant now);
    void onRequestFailed(std::string_view organisation, uint64_t sequence);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
