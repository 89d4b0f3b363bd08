// Admission to a target's member: at most its slots run at once, and organisations share them.
//
//     auto ticket = admission.acquireSlot({"ledger-1/a", "dredge-co", 1, deadline}, slots);
//     if (!ticket) { return tl::unexpected(ticket.error()); }      // "not run"
//     ...run the statement...; the ticket's end frees the slot
#pragma once

#include "gentianplank/base/refusal.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gentianplank {

// What asks for a slot.
struct AdmissionRequest
{
    // Group and member, such as "ledger-1/a".
    std::string target;
    std::string organisation;
    uint32_t weight = 1;
    // The expected cost relative to a small statement.
    double cost = 1;
    Instant deadline{};
};

// Holds a slot until it is destroyed. Movable, for one thread at a time.
class AdmissionTicket
{
public:
    AdmissionTicket() = default;
    explicit AdmissionTicket(std::function<void()> release);
    AdmissionTicket(AdmissionTicket &&other) noexcept;
    AdmissionTicket &operator=(AdmissionTicket &&other) noexcept;
    AdmissionTicket(const AdmissionTicket &) = delete;
    AdmissionTicket &operator=(const AdmissionTicket &) = delete;
    ~AdmissionTicket();

private:
    std::function<void()> m_release;
};

// Thread-safe.
class Admission
{
public:
    // At most `longestQueue` requests wait at one target.
    explicit Admission(size_t longestQueue);
    ~Admission();

    // Waits for a slot of the target, of which `slots` exist. Refuses with Overloaded or Deadline,
    // "not run".
    tl::expected<AdmissionTicket, Refusal> acquireSlot(const AdmissionRequest &request,
                                                       uint32_t slots);

    // Returns how many requests wait at a target.
    size_t waiting(const std::string &target) const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
