// Sends each statement to the VM that dispatches for its group: this one or a peer.
//
// A forward whose answer is lost goes to the next dispatcher, within the deadline and a retry
// budget; a write keeps its request id, so that the group runs it once.
//
//     Router router(boards, groups, channels, self, local);
//     auto answer = router.execute(request);
#pragma once

#include "gentianplank/daemon/control/fleet_boards.h"
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
    // `local` runs what this VM dispatches. What is referred to outlives the router.
    Router(FleetBoards &boards, const GroupViewRegistry &groups, ChannelFactory &channels,
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
