// The digest of a streamed answer, part of the protocol with callers and members. Each row adds its
// number of values and then the values in order.
//
//     AnswerDigest digest;
//     digest.add(row);
//     if (digest.matches(end)) { ...the answer is complete... }
#pragma once

#include "gentianplank/base/digest.h"
#include "gentianplank/proto/common.pb.h"

#include <cstdint>

namespace gentianplank {

// A plain, copyable value. Not thread-safe.
class AnswerDigest
{
public:
    void add(const common::v1::Row &row);

    uint64_t rowCount() const { return m_rowCount; }

    // Returns the end message of a complete answer with these rows.
    common::v1::AnswerEnd end() const;

    bool matches(const common::v1::AnswerEnd &end) const;

private:
    RunningDigest m_digest;
    uint64_t m_rowCount = 0;
};

} // namespace gentianplank
