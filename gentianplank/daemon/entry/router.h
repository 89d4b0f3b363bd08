// Routes each statement to the VM that dispatches for its group: this one or a peer.
//
// When a forward is lost, the statement is retried at the next dispatcher, within its deadline and
// a retry budget. A retried write keeps its request id, by which the group runs it once only.
//
//     Router router(fleetState, groups, channels, self, local);
//     auto answer = router.execute(request);
#pragma once

#include "gentianplank/daemon/control/fleet_state.h"
#include "gentianplank/statement/statement.h"
#include "gentianplank/store/channel.h"
#include "gentianplank/target/group_view_registry.h"
#include "gentianplank/vm/vm_directory.h"

#include <memory>

namespace gentianplank {

// Thread-safe.
class Router : public StatementRunner
{
public:
    // `local` runs the statements that this VM dispatches. All references outlive the router.
    Router(FleetState &fleetState, const GroupViewRegistry &groups, ChannelFactory &channels,
           VmInfo self, StatementRunner &local);
    ~Router() override;

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
