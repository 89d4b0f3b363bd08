// Puts a streamed answer together from one or more attempts, and never passes on a wrong one.
//
//     AnswerAssembly assembly;
//     beginAttempt(assembly);                          // at each member
//     auto fresh = acceptChunk(assembly, chunk);         // pass on what is new
//     auto end = verifyEnd(assembly, end);               // whole, or a fault
#pragma once

#include "gentianplank/base/answer_digest.h"
#include "gentianplank/proto/common.pb.h"

#include <tl/expected.hpp>

#include <optional>
#include <string_view>

namespace gentianplank {

enum class AssemblyFault {
    // A chunk is missing, doubled or crossed.
    OutOfOrder,
    // A later attempt's rows differ from those already passed on, or are fewer.
    PrefixDiffers,
    // The count or the digest at the end doesn't match the rows.
    NotWhole,
};

std::string_view toString(AssemblyFault fault);

// A plain value of fixed size: rows are passed on, not kept.
struct AnswerAssembly
{
    // The rows passed on so far, and how many chunks carried them.
    AnswerDigest delivered;
    uint64_t chunksDelivered = 0;
    // The rows of the present attempt, and the index that its next chunk must have.
    AnswerDigest seen;
    uint64_t nextIndex = 0;
    // The present attempt repeated every row that was passed on.
    bool isPrefixMatched = true;
};

// Starts an attempt, which has to repeat what was passed on before anything new.
void beginAttempt(AnswerAssembly &assembly);

// Returns the chunk's new rows, renumbered; nothing when all of them were passed on before.
// Deterministic. After a fault only beginAttempt may follow.
tl::expected<std::optional<common::v1::Chunk>, AssemblyFault>
acceptChunk(AnswerAssembly &assembly, const common::v1::Chunk &chunk);

// Checks that the attempt's answer is whole and that all of it was passed on. Deterministic.
tl::expected<common::v1::AnswerEnd, AssemblyFault> verifyEnd(const AnswerAssembly &assembly,
                                                             const common::v1::AnswerEnd &end);

} // namespace gentianplank
