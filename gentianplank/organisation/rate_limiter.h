// The gate that keeps each organisation within its rate and burst: it admits by this VM's slices,
// and lets a statement wait for a bounded time while a top-up is on its way.
//
//     RateLimiter gate;
//     gate.setIncarnation({"vm-1", incarnation}, now);                                // control
//     thread for (DueSliceRequest &it : gate.dueRequests(now)) { send(it); }                 //
//     control thread gate.onReply("dredge-co", reply, now);                                   //
//     control thread if (auto refusal = gate.enter("dredge-co", deadline)) { return *refusal; }  //
//     traffic
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

// A request to an organisation's home, or to its deputy.
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

    // Names this VM's present life. All slices of an earlier one end.
    void setIncarnation(const VmIncarnation &self, Instant now);

    // Sets what runs, on any thread, when a statement begins to wait. Call before any enter().
    void setWakeUp(std::function<void()> wakeUp);

    // Takes one statement of an organisation. Blocks while an answer of the home may still bring a
    // token, at most until the deadline. Returns the refusal, "not run", with its retry hint.
    std::optional<Refusal> enter(std::string_view organisation, Instant deadline);

    // Returns the requests to send now, serves those who wait, and forgets idle organisations.
    std::vector<DueSliceRequest> dueRequests(Instant now);

    // Gives all slices back; for a shutdown. Returns the requests that tell the homes.
    std::vector<DueSliceRequest> release(Instant now);

    void onReply(std::string_view organisation, const SliceReply &reply, Instant now);
    void onRequestFailed(std::string_view organisation, uint64_t sequence);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
