#include "gentianplank/statement/answer_assembly.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>
#include <vector>

namespace gentianplank {

namespace {

using Rows = std::vector<common::v1::Row>;

size_t pick(size_t from, size_t to)
{
    return *rc::gen::inRange(from, to);
}

common::v1::Row rowOf(size_t n)
{
    common::v1::Row row;
    row.add_values(std::to_string(n));
    return row;
}

common::v1::AnswerEnd endOf(const Rows &rows)
{
    AnswerDigest digest;
    for (const common::v1::Row &it : rows) {
        digest.add(it);
    }
    return digest.end();
}

// Streams rows in chunks of random size. The attempt may break off, lose chunks, or lose rows at
// the end of chunks.
void streamFaultyAttempt(AnswerAssembly &assembly, const Rows &rows, Rows &delivered, bool &isDone)
{
    beginAttempt(assembly);
    const size_t breakAt = pick(0, 3) == 0 ? rows.size() + 1 : pick(0, rows.size() + 1);
    const bool isFaulty = pick(0, 4) == 0;
    common::v1::Chunk chunk;
    for (size_t i = 0; i < rows.size();) {
        if (i >= breakAt) {
            return;
        }
        chunk.clear_rows();
        for (size_t n = pick(1, 6); n > 0 && i < rows.size(); --n) {
            *chunk.add_rows() = rows[i++];
        }
        if (isFaulty && pick(0, 5) == 0) {
            chunk.set_index(chunk.index() + pick(0, 2));
            // The whole chunk or its last row is lost in transit.
            if (pick(0, 2) == 0) {
                chunk.set_index(chunk.index() + 1);
                continue;
            }
            chunk.mutable_rows()->RemoveLast();
        }
        const auto newRows = acceptChunk(assembly, chunk);
        if (!newRows) {
            return;
        }
        chunk.set_index(chunk.index() + 1);
        if (*newRows) {
            delivered.insert(delivered.end(), (*newRows)->rows().begin(), (*newRows)->rows().end());
        }
    }
    isDone = verifyEnd(assembly, endOf(rows)).has_value();
}

std::string textOf(const Rows &rows)
{
    std::string text;
    for (const common::v1::Row &it : rows) {
        text += it.values(0) + ",";
    }
    return text;
}

} // namespace

// An answer that is resumed at another member must not mix rows of two members whose data differs.
BOOST_AUTO_TEST_CASE(acceptedAnswerEqualsCompleteAnswerOfOneMember)
{
    size_t accepted = 0;
    size_t resumed = 0;
    const bool ok = rc::check("assembly", [&] {
        for (int run = 0; run < 20; ++run) {
            // Two members at different positions: in the second answer any one row may differ, or
            // the last rows may be missing.
            Rows first;
            for (size_t i = pick(0, 30); i > 0; --i) {
                first.push_back(rowOf(i));
            }
            Rows second = first;
            if (pick(0, 2) == 0 && !second.empty()) {
                second[pick(0, second.size())] = rowOf(1000);
            } else {
                second.resize(second.size() - pick(0, second.size() / 2 + 1));
            }
            AnswerAssembly assembly;
            Rows delivered;
            bool isDone = false;
            for (size_t attempt = 0; attempt < 4 && !isDone; ++attempt) {
                const bool hadRows = !delivered.empty();
                streamFaultyAttempt(assembly, attempt % 2 == 0 ? first : second, delivered, isDone);
                resumed += isDone && hadRows ? 1 : 0;
            }
            if (isDone) {
                ++accepted;
                const std::string text = textOf(delivered);
                RC_ASSERT(text == textOf(first) || text == textOf(second));
            }
        }
    });
    BOOST_TEST(ok);
    BOOST_TEST(accepted > 500U);
    BOOST_TEST(resumed > 100U);
}

} // namespace gentianplank
