#include "gentianplank/base/answer_digest.h"

namespace gentianplank {

void AnswerDigest::add(const common::v1::Row &row)
{
    m_digest.add(std::to_string(row.values_size()));
    for (const std::string &it : row.values()) {
        m_digest.add(it);
    }
    ++m_rowCount;
}

common::v1::AnswerEnd AnswerDigest::end() const
{
    common::v1::AnswerEnd end;
    end.set_row_count(m_rowCount);
    end.set_digest(m_digest.value());
    return end;
}

bool AnswerDigest::matches(const common::v1::AnswerEnd &end) const
{
    return end.row_count() == m_rowCount && equalInConstantTime(end.digest(), m_digest.value());
}

} // namespace gentianplank
