#include "gentianplank/session/log_position.h"

#include <algorithm>

namespace gentianplank {

bool covers(const LogPosition &have, const LogPosition &need)
{
    return have.term >= need.term && have.position >= need.position;
}

LogPosition mergePositions(const LogPosition &a, const LogPosition &b)
{
    return {std::max(a.term, b.term), std::max(a.position, b.position)};
}

LogPosition fromWire(const common::v1::LogPosition &wire)
{
    return {wire.term(), wire.position()};
}

void toWire(const LogPosition &position, common::v1::LogPosition *wire)
{
    wire->set_term(position.term);
    wire->set_position(position.position);
}

} // namespace gentianplank
