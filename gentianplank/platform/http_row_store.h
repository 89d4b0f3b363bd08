// RowStore client for the platform's store over HTTP.
#pragma once

#include "gentianplank/http/http_client.h"
#include "gentianplank/store/row_store.h"
#include "gentianplank/store/store_clock.h"

namespace gentianplank::platform {

// A store that has never named an era is in era 0. Once it has, an answer that should hold rows or
// a version but names no era fails with BadAnswer, as does one that names an invalid era. Not
// thread-safe; use on the thread that runs `client`. The store must outlive all
// calls made with it, and `client` must outlive the store.
class HttpRowStore : public RowStore
{
public:
    explicit HttpRowStore(HttpClient &client)
        : m_client(client)
    {}

    void read(RowRange range, Duration timeout,
              std::function<void(RowResult<RowSet>)> done) override;
    void change(RowTransaction transaction, Duration timeout,
                std::function<void(RowResult<StoreVersion>)> done) override;
    void changesAfter(std::string table, StoreVersion after, Duration wait, Duration timeout,
                      std::function<void(RowResult<RowSet>)> done) override;

private:
    // Records the era that the store names in an answer and returns it, or an error if it names
    // none.
    tl::expected<uint64_t, RowError> readEra(const HttpResponse &response);
    RowResult<RowSet> decodeRowSet(const HttpResult &result, BootInstant sentAt);
    RowResult<StoreVersion> decodeChange(const HttpResult &result, std::optional<uint64_t> era);

    HttpClient &m_client;
    // The latest era that the store has named; empty before its first answer.
    std::optional<uint64_t> m_era;
    StoreClock m_clock;
};

} // namespace gentianplank::platform
