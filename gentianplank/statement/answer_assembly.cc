#include "gentianplank/statement/answer_assembly.h"

namespace gentianplank {

std::string_view toString(AssemblyFault fault)
{
    switch (fault) {
    case AssemblyFault::OutOfOrder:
        return "a part of the answer is missing";
    case AssemblyFault::PrefixDiffers:
        return "the data changed while the answer was repeated; ask again for all of it";
    case AssemblyFault::NotWhole:
        break;
    }
    return "the answer's count or digest doesn't match its rows";
}

void beginAttempt(AnswerAssembly &assembly)
{
    assembly.seen = AnswerDigest();
    assembly.nextIndex = 0;
    assembly.isPrefixMatched = assembly.delivered.rowCount() == 0;
}

tl::expected<std::optional<common::v1::Chunk>, AssemblyFault>
acceptChunk(AnswerAssembly &assembly, const common::v1::Chunk &chunk)
{
    if (chunk.index() != assembly.nextIndex) {
        return tl::unexpected(AssemblyFault::OutOfOrder);
    }
    ++assembly.nextIndex;
    common::v1::Chunk fresh;
    for (const common::v1::Row &row : chunk.rows()) {
        assembly.seen.add(row);
        if (assembly.isPrefixMatched) {
            assembly.delivered.add(row);
            *fresh.add_rows() = row;
            continue;
        }
        if (assembly.seen.rowCount() < assembly.delivered.rowCount()) {
            continue;
        }
        if (!assembly.seen.matches(assembly.delivered.end())) {
            return tl::unexpected(AssemblyFault::PrefixDiffers);
        }
        assembly.isPrefixMatched = true;
    }
    if (fresh.rows_size() == 0) {
        return std::nullopt;
    }
    fresh.set_index(assembly.chunksDelivered++);
    return fresh;
}

tl::expected<common::v1::AnswerEnd, AssemblyFault> verifyEnd(const AnswerAssembly &assembly,
                                                             const common::v1::AnswerEnd &end)
{
    if (!assembly.seen.matches(end)) {
        return tl::unexpected(AssemblyFault::NotWhole);
    }
    if (!assembly.isPrefixMatched) {
        return tl::unexpected(AssemblyFault::PrefixDiffers);
    }
    return end;
}

} // namespace gentianplank
