// RowStore client for the platform's store over HTTP.
#pragma once

#include "gentianplank/http/http_client.h"
#include "gentianplank/store/row_store.h"
#include "gentianplank/store/store_clock.h"

namespace gentianplank::platform {

// Not thread-safe; use on the thread that runs `client`. The store must outlive all calls made with
// it, and `client` must outlive the store.
class HttpRowStore : public RowStore
{
public:
    explicit HttpRowStore(HttpClient &client)
        : m_client(client)
    {}

    void read(RowRange range, Duration timeout,
              std::function<void(RowResult<RowSet>)> done) override;
    void change(RowTransaction transaction, Duration timeout,
                std::function<void(RowResult<uint64_t>)> done) override;
    void changesAfter(std::string table, uint64_t after, Duration wait, Duration timeout,
                      std::function<void(RowResult<RowSet>)> done) override;

private:
    // Logs the era that the store names in an answer when it differs from that of the last answer.
    void noteEra(const HttpResult &result);

    std::string m_era;
    HttpClient &m_client;
    StoreClock m_clock;
};

} // namespace gentianplank::platform
