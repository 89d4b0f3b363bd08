#include "gentianplank/zone/place.h"

namespace gentianplank {

Distance distanceBetween(const Place &a, const Place &b)
{
    if (a.region != b.region) {
        return Distance::OtherRegion;
    }
    return a.zone == b.zone ? Distance::SameZone : Distance::SameRegion;
}

} // namespace gentianplank
