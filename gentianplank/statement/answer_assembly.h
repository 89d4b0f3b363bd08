// Assembles a streamed answer from one or more attempts and detects attempts that don't match.
//
//     AnswerAssembly assembly;
//     beginAttempt(assembly);                        // for each member
//     auto newRows = acceptChunk(assembly, chunk);   // deliver the new rows
//     auto verified = verifyEnd(assembly, end);      // the complete answer, or a fault
#pragma once

#include "gentianplank/base/answer_digest.h"
#include "gentianplank/proto/common.pb.h"

#include <tl/expected.hpp>

#include <optional>
#include <string_view>

namespace gentianplank {

enum class AssemblyFault {
    // A chunk is missing, repeated or out of order.
    OutOfOrder,
    // The rows of a later attempt differ from those already delivered, or are fewer.
    PrefixMismatch,
    // The row count or the digest at the end doesn't match the rows.
    Incomplete,
};

// Returns the message for the caller.
std::string_view toString(AssemblyFault fault);

// A plain value of fixed size: it keeps digests of the rows, not the rows.
struct AnswerAssembly
{
    // The rows delivered so far, and the number of chunks they were delivered in.
    AnswerDigest deliveredRows;
    uint64_t deliveredChunks = 0;
    // The rows of the current attempt, and the index expected of its next chunk.
    AnswerDigest attemptRows;
    uint64_t nextChunkIndex = 0;
    // The current attempt has repeated every row that was delivered.
    bool isPrefixMatched = true;
};

// Starts an attempt, which must repeat the delivered rows before any new ones.
void beginAttempt(AnswerAssembly &assembly);

// Returns the new rows of the chunk with the index for the caller; nullopt if all of its rows were
// delivered before. Deterministic. After a fault, only beginAttempt may be called.
tl::expected<std::optional<common::v1::Chunk>, AssemblyFault>
acceptChunk(AnswerAssembly &assembly, const common::v1::Chunk &chunk);

// Checks that the attempt's answer is complete and that all of it was delivered. Deterministic.
tl::expected<common::v1::AnswerEnd, AssemblyFault> verifyEnd(const AnswerAssembly &assembly,
                                                             const common::v1::AnswerEnd &end);

} // namespace gentianplank
