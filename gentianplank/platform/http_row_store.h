// RowStore client for the platform's store over HTTP.
#pragma once

#include "gentianplank/http/http_caller.h"
#include "gentianplank/store/row_store.h"
#include "gentianplank/store/store_clock.h"

namespace gentianplank::platform {

// Not thread-safe; use on the thread that runs `caller`. The store must outlive all calls made with
// it, and `caller` must outlive the store.
class HttpRowStore : public RowStore
{
public:
    explicit HttpRowStore(HttpCaller &caller)
        : m_caller(caller)
    {}

    void read(RowRange range, Duration timeout,
              std::function<void(RowResult<RowSet>)> done) override;
    void change(RowTransaction transaction, Duration timeout,
                std::function<void(RowResult<uint64_t>)> done) override;
    void changesAfter(std::string table, uint64_t after, Duration wait, Duration timeout,
                      std::function<void(RowResult<RowSet>)> done) override;

private:
    HttpCaller &m_caller;
    StoreClock m_clock;
};

} // namespace gentianplank::platform
