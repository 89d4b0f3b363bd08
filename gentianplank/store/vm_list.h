// Interface of the platform's list of live and leaving VMs. The list lags, so it is only a hint.
#pragma once

#include "gentianplank/store/table_store.h"
#include "gentianplank/zone/place.h"

namespace gentianplank {

struct ListedVm
{
    std::string name;
    std::string address;
    Place place;
    bool leaving = false;
};

// Implementations are thread-safe.
class VmList
{
public:
    virtual ~VmList() = default;

    virtual tl::expected<std::vector<ListedVm>, StoreError> list(Duration timeout) = 0;
};

} // namespace gentianplank
