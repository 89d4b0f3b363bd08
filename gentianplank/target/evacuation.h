// Evacuated zones: what a VM knows of them, and what it may still send to members there.
//
// The operator's table has a row for each evacuated zone. A VM follows the table, so its copy of
// the rows is as old as its proof; one whose proof is too old might miss an evacuation and sends
// nothing.
//
//     applyEvacuationRow(known, "a", false, bootNow());
//     const SendPermission permission = sendPermission(zones, "a", limits, provenAt, isOpen, now);
#pragma once

#include "gentianplank/base/boot_clock.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// The evacuated zones and when this VM learnt of each evacuation.
using EvacuatedZones = std::map<std::string, BootInstant, std::less<>>;

// A VM's knowledge of the evacuation rows, also across a return of the store from an older copy:
// the rows of the copy don't end an evacuation that was known before.
struct KnownEvacuations
{
    EvacuatedZones inForce;
    // The zones whose rows the store holds.
    std::set<std::string, std::less<>> stored;
    // When each evacuation that is over ended.
    std::map<std::string, BootInstant, std::less<>> endedAt;
    // The store is in a new era, in which the operator's rows are not proven yet.
    bool awaitsOperator = false;
};

// Applies a row of the store that was written or erased. Returns whether the evacuations in force
// have changed.
bool applyEvacuationRow(KnownEvacuations &known, const std::string &zone, bool isErased,
                        BootInstant now);

// Records that the operator's rows are proven, in the current era of the store. Returns the zones
// whose evacuations end, since their rows did not come back with the copy.
std::vector<std::string> proveEvacuations(KnownEvacuations &known, BootInstant now);

// Whether a statement may be sent to a member.
enum class SendPermission {
    Granted,
    // The evacuations are not proven to be known: nothing may be sent to any member.
    ProofTooOld,
    // The member's zone is evacuated.
    Evacuated,
};

// Returns how long a proof of the evacuation rows permits sending, given how long after its
// acknowledgement an evacuation must be in force (`limit`).
Duration evacuationProofLifetime(Duration limit);

// Returns until when open transactions may go on in a zone whose evacuation was learnt at
// `learntAt`.
BootInstant transactionsEndAt(BootInstant learntAt, Duration limit);

// Decides on a statement for a member in `zone`. `provenAt` is the last proof of the evacuation
// rows; `isOpenTransaction` means that the statement continues a transaction there. A `limit` of
// zero means that evacuations are not in force. Thread-safe, like all functions here without
// `known`.
SendPermission sendPermission(const EvacuatedZones &zones, std::string_view zone, Duration limit,
                              BootInstant provenAt, bool isOpenTransaction, BootInstant now);

} // namespace gentianplank
