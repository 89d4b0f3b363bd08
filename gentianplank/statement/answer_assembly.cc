#include "gentianplank/statement/answer_assembly.h"

namespace gentianplank {

std::string_view toString(AssemblyFault fault)
{
    switch (fault) {
    case AssemblyFault::OutOfOrder:
        return "a chunk of the answer is missing, repeated or out of order";
    case AssemblyFault::PrefixMismatch:
        return "the data changed while the answer was repeated; send the request again";
    case AssemblyFault::Incomplete:
        break;
    }
    return "the row count or digest of the answer doesn't match its rows";
}

void beginAttempt(AnswerAssembly &assembly)
{
    assembly.attemptRows = AnswerDigest();
    assembly.nextChunkIndex = 0;
    assembly.isPrefixMatched = assembly.deliveredRows.rowCount() == 0;
}

tl::expected<std::optional<common::v1::Chunk>, AssemblyFault>
acceptChunk(AnswerAssembly &assembly, const common::v1::Chunk &chunk)
{
    if (chunk.index() != assembly.nextChunkIndex) {
        return tl::unexpected(AssemblyFault::OutOfOrder);
    }
    ++assembly.nextChunkIndex;
    common::v1::Chunk newRows;
    for (const common::v1::Row &row : chunk.rows()) {
        assembly.attemptRows.add(row);
        if (assembly.isPrefixMatched) {
            assembly.deliveredRows.add(row);
            *newRows.add_rows() = row;
            continue;
        }
        if (assembly.attemptRows.rowCount() < assembly.deliveredRows.rowCount()) {
            continue;
        }
        if (!assembly.attemptRows.matches(assembly.deliveredRows.end())) {
            return tl::unexpected(AssemblyFault::PrefixMismatch);
        }
        assembly.isPrefixMatched = true;
    }
    if (newRows.rows_size() == 0) {
        return std::nullopt;
    }
    newRows.set_index(assembly.deliveredChunks++);
    return newRows;
}

tl::expected<common::v1::AnswerEnd, AssemblyFault> verifyEnd(const AnswerAssembly &assembly,
                                                             const common::v1::AnswerEnd &end)
{
    if (!assembly.attemptRows.matches(end)) {
        return tl::unexpected(AssemblyFault::Incomplete);
    }
    if (!assembly.isPrefixMatched) {
        return tl::unexpected(AssemblyFault::PrefixMismatch);
    }
    return end;
}

} // namespace gentianplank
