// Runs statements at the members of database groups, for the whole region.
//
//     Dispatcher dispatcher({board, pool, admission, self});
//     auto answer = dispatcher.execute(request);
#pragma once

#include "gentianplank/configuration/view.h"
#include "gentianplank/organisation/admission.h"
#include "gentianplank/statement/statement.h"
#include "gentianplank/target/connection_pool.h"
#include "gentianplank/target/group_view_registry.h"
#include "gentianplank/zone/place.h"

namespace gentianplank {

// What a dispatcher works with. The referred objects outlive it.
struct DispatcherParts
{
    const GroupViewRegistry &board;
    ConnectionPool &pool;
    Admission &admission;
    Place self;
    // Returns the configuration in force at this VM.
    std::function<std::shared_ptr<const ConfigurationView>()> configuration;
};

// Thread-safe.
class Dispatcher : public StatementRunner
{
public:
    explicit Dispatcher(DispatcherParts parts);
    ~Dispatcher() override;

    tl::expected<StatementAnswer, Refusal> execute(const StatementRequest &request) override;
    tl::expected<PulledAnswer, Refusal> pull(const StatementRequest &request,
                                             const ChunkSink &sink) override;
    tl::expected<std::unique_ptr<TransactionRun>, Refusal>
    begin(const StatementRequest &request) override;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
