// Which VM divides the allowance of a cold member: its first dispatcher, whatever can be reached.
//
//     addFleet(recent, view, now, window);
//     const auto since = firstDispatcherSince(recent, "i-7", place, ownName);
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"

#include <deque>
#include <optional>
#include <string>

namespace gentianplank {

// The VMs that a VM's views listed recently, and since when.
struct RecentFleets
{
    struct Entry
    {
        BootInstant since{};
        std::shared_ptr<const FleetView> view;
    };
    std::deque<Entry> entries;
};

// Adds a view unless it lists the same VMs as the last one. Forgets fleets that were replaced more
// than `window` ago.
void addFleet(RecentFleets &recent, std::shared_ptr<const FleetView> view, BootInstant now,
              Duration window);

// Returns since when the VM `ownName` has been the member's first dispatcher without interruption,
// as far as is remembered; nullopt if it isn't.
std::optional<BootInstant> firstDispatcherSince(const RecentFleets &recent,
                                                const std::string &member, const Place &place,
                                                const std::string &ownName);

} // namespace gentianplank
