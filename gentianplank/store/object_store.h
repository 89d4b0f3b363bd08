// Interface of the platform's object store, which holds configuration snapshots.
#pragma once

#include "gentianplank/store/table_store.h"

#include <optional>

namespace gentianplank {

// Implementations are thread-safe.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    // Stores an object, replacing one of the same name.
    virtual tl::expected<void, StoreError> put(std::string_view name, std::string_view value,
                                               Duration timeout) = 0;

    // Returns the object, or nullopt if there is none of that name.
    virtual tl::expected<std::optional<std::string>, StoreError> get(std::string_view name,
                                                                     Duration timeout) = 0;
};

} // namespace gentianplank
