// Private state of Traffic, shared by its sources: traffic.cc (components, shutdown),
// traffic_clients.cc (limits of callers), traffic_dispatch.cc (primary leases and dispatchers),
// traffic_placement.cc (evacuations and cold members), traffic_explain.cc and traffic_peers.cc
// (requests and replies of peers).
#pragma once

#include "gentianplank/node/traffic/traffic.h"

#include "gentianplank/http/http_listener.h"
#include "gentianplank/http/tcp_listener.h"
#include "gentianplank/node/traffic/caller_session.h"
#include "gentianplank/node/traffic/cold_role.h"
#include "gentianplank/node/traffic/connection_shares.h"
#include "gentianplank/node/traffic/dispatch_table.h"
#include "gentianplank/node/traffic/dispatcher_map.h"
#include "gentianplank/node/traffic/node_metrics.h"
#include "gentianplank/node/traffic/peer_mesh.h"
#include "gentianplank/node/traffic/rate_exchange.h"
#include "gentianplank/node/traffic/statement_router.h"
#include "gentianplank/settings/derived_times.h"
#include "gentianplank/vm/stop_schedule.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <map>
#include <thread>
#include <vector>

namespace gentianplank {

// A pending request to stop using a group's primary. It completes when no statement or transaction
// uses the primary any more.
struct EpochRelease
{
    std::string group;
    uint64_t epoch = 0;
    // When the remaining uses of the primary are aborted.
    Instant abortAt{};
    std::vector<std::function<void()>> done;
};

// Used on the traffic thread only.
struct Traffic::State : std::enable_shared_from_this<Traffic::State>
{
    State(EntryVmSettings vmSettings, uint64_t number, TrafficHandler callbacks)
        : settings(std::move(vmSettings))
        , times(derivedTimes(settings))
        , incarnation(number)
        , handler(std::move(callbacks))
        , tickTimer(ioContext)
        , callerListener(ioContext, [this](boost::asio::ip::tcp::socket socket) {
            acceptCaller(std::move(socket));
        })
    {}

    std::optional<std::string> listen(uint16_t metricsPort);
    HttpAnswer answerHttp(const HttpCall &call) const;
    HttpAnswer answerExplain(const HttpCall &call) const;
    void createComponents(ZoneOptions zones);
    void createClientLimits();
    void applyClientLimits();
    bool acceptsCallers() const;
    ClientUse clientUse() const;
    void enforceClientLimits(Instant now);
    void trimMemory(Instant now);
    void acceptCaller(boost::asio::ip::tcp::socket socket);
    void scheduleTick();
    void tick();

    bool hasProvenConfiguration() const;
    // Returns null while no configuration is proven to be in force.
    std::shared_ptr<const Routing> provenRouting() const;
    // Resumes sessions that wait for a configuration once one is proven or the startup grace is
    // over.
    void resumeWaitingSessions();
    bool isReady() const;
    std::optional<GroupRecord> usablePrimary(const std::string &group) const;
    bool mayUsePrimary(const std::string &group, uint64_t epoch) const;
    PrimaryLease primaryLeaseOf(const GroupRecord &record) const;

    // Whether a statement may be sent to a member of the zone now.
    SendPermission sendPermission(const std::string &zone, bool isOpenTransaction) const;
    // Whether the member is cold, and when this VM may use its allowance.
    ColdPhase coldPhase(const std::string &member);
    void updateColdRoles();
    std::shared_ptr<MemberDispatcher> dispatcherFor(const std::string &member);
    DispatcherLimits dispatcherLimits(const FleetMember &member) const;
    void updateDispatchers();
    void executeLocally(const ForwardedStatement &statement, OutcomeHandler done);
    void execute(const std::string &vm, const ForwardedStatement &statement, OutcomeHandler done);
    void handlePeerRequest(const std::shared_ptr<PeerLink> &link, const peer::v1::Frame &frame);
    std::shared_ptr<MemoryAccount> chargePeerStatement(const peer::v1::Execute &statement) const;
    void handlePeerReply(const std::string &vm, const peer::v1::Frame &frame);
    peer::v1::Frame withEvidence(const peer::v1::Probe &probe, peer::v1::Frame reply) const;
    void handlePong(const peer::v1::Pong &pong, BootInstant sentAt);
    void requestSamples(Instant now);
    void answerSample(const std::shared_ptr<PeerLink> &link, const peer::v1::SampleAsk &ask) const;
    void recordSample(const peer::v1::SampleAnswer &answer);
    peer::v1::Frame pong(const peer::v1::Ping &ping) const;
    void endTransaction(const std::string &vm, const std::string &member, uint64_t session);

    void releaseEpoch(const std::string &group, uint64_t epoch, bool isOrderly,
                      std::function<void()> done);
    void completeReleases(Instant now);
    void beginShutdown();
    void advanceShutdown(Instant now);

    EntryVmSettings settings;
    DerivedTimes times;
    uint64_t incarnation;
    TrafficHandler handler;
    boost::asio::io_context ioContext;
    boost::asio::steady_timer tickTimer;
    TcpListener callerListener;
    std::unique_ptr<HttpListener> readinessListener;
    std::unique_ptr<HttpListener> metricsListener;
    std::unique_ptr<PeerMesh> mesh;
    std::unique_ptr<RateExchange> rates;
    std::unique_ptr<StatementRouter> router;
    // Memory that callers, peers and members make this process hold.
    std::shared_ptr<MemoryBudget> memory =
        std::make_shared<MemoryBudget>(memoryMarks(settings.memoryMb));
    MemoryAccount logMemory{memory, 0, {}};
    size_t peakMemory = 0;
    Instant trimmedAt{};
    // Maximum number of callers' connections.
    size_t clientLimit = 0;
    ConnectionShares connectionShares;
    bool isAcceptPaused = false;
    std::vector<std::weak_ptr<CallerSession>> watchedSessions;
    Instant watchedAt{};
    std::array<uint64_t, CloseReasonCount> closedSessions{};
    SessionEnvironment sessionEnvironment;
    NodeMetrics metrics;
    std::string peerAddress;
    ZonePolicy zonePolicy = ZonePolicy::Fixed;

    std::shared_ptr<const FleetView> view = std::make_shared<FleetView>();
    DispatchTable dispatchTable;
    // Who was in the fleet, and since when this VM has been the first dispatcher of cold members.
    RecentFleets recentFleets;
    std::map<std::string, std::optional<BootInstant>, std::less<>> coldRoles;
    FleetProofs proofs;
    // The state of the configuration that was last logged.
    bool wasLoggedProven = false;
    // When this process started, and whether it has ever had a proven configuration.
    Instant startedAt = steadyNow();
    bool hasEverBeenProven = false;
    std::vector<std::function<void()>> waitingSessions;
    // Log positions of the primaries, for reads that this VM dispatches to replicas.
    std::map<std::string, PositionHistory> histories;
    struct SampleRequest
    {
        Instant requestedAt{};
        BootInstant requestedAtBoot{};
        uint64_t number = 0;
    };
    // The last request for a log position of each group's primary.
    std::map<std::string, SampleRequest> sampleRequests;
    uint64_t nextSampleRequest = 1;
    // Proofs from peers by group: the epoch, and the time up to which its record is proven to be in
    // force.
    std::map<std::string, std::pair<uint64_t, BootInstant>> peerProofs;
    // Lowest epoch of each group that has not been released.
    std::map<std::string, uint64_t> releasedEpochs;
    std::vector<EpochRelease> releases;
    DispatcherMap dispatchers;
    std::map<uint64_t, std::shared_ptr<CallerSession>> sessions;
    uint64_t nextSession = 1;
    std::optional<Instant> stoppingSince;
    StopSchedule stopSchedule;
    // Dispatching has been handed over to other VMs.
    bool isHandedOver = false;
    bool hasStopped = false;
    std::thread thread;
};

} // namespace gentianplank
