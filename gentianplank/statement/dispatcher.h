// Runs statements at the members of database groups on behalf of a region.
//
//     Dispatcher dispatcher({groupViews, pool, admission, self, configuration});
//     auto answer = dispatcher.execute(request);
#pragma once

#include "gentianplank/configuration/view.h"
#include "gentianplank/organisation/admission.h"
#include "gentianplank/statement/statement.h"
#include "gentianplank/target/connection_pool.h"
#include "gentianplank/target/group_view_registry.h"
#include "gentianplank/zone/place.h"

namespace gentianplank {

// The dependencies of a dispatcher. The referenced objects must outlive it.
struct DispatcherParts
{
    const GroupViewRegistry &groupViews;
    ConnectionPool &pool;
    Admission &admission;
    Place self;
    // Returns the configuration that is in force at this VM.
    std::function<std::shared_ptr<const ConfigurationView>()> configuration;
};

// Thread-safe. Calls block until the answer or the deadline.
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
