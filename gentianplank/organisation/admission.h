// Limits concurrent statements on a target's member to its slots, which organisations share fairly.
//
//     auto ticket = admission.acquireSlot({"ledger-1/a", "dredge-co", 1, 1, deadline}, slots);
//     if (!ticket) { return tl::unexpected(ticket.error()); }      // "not run"
//     ...run the statement...                                      // ~ticket releases the slot
#pragma once

#include "gentianplank/base/refusal.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gentianplank {

// A statement that needs a slot.
struct AdmissionRequest
{
    // Group and member, such as "ledger-1/a".
    std::string target;
    std::string organisation;
    uint32_t weight = 1;
    // Expected cost relative to a small statement.
    double cost = 1;
    Instant deadline{};
};

// Owns a slot and releases it on destruction. Movable, not thread-safe.
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
    // At most `longestQueue` requests wait for one target.
    explicit Admission(size_t longestQueue);
    ~Admission();

    // Blocks until one of the target's `slots` is free. Fails with Overloaded or Deadline and
    // outcome "not run".
    tl::expected<AdmissionTicket, Refusal> acquireSlot(const AdmissionRequest &request,
                                                       uint32_t slots);

    // Returns the number of requests that wait for a target.
    size_t waiting(const std::string &target) const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
