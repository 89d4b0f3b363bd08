#include "gentianplank/daemon/daemon.h"

#include "gentianplank/base/log.h"
#include "gentianplank/daemon/admin_service.h"
#include "gentianplank/daemon/control/configuration_controller.h"
#include "gentianplank/daemon/control/failover_controller.h"
#include "gentianplank/daemon/control/group_controller.h"
#include "gentianplank/daemon/control/membership_controller.h"
#include "gentianplank/daemon/control/peer_clients.h"
#include "gentianplank/daemon/control/rate_controller.h"
#include "gentianplank/daemon/daemon_metrics.h"
#include "gentianplank/daemon/entry/caller_service.h"
#include "gentianplank/daemon/entry/metered_runner.h"
#include "gentianplank/daemon/entry/peer_service.h"
#include "gentianplank/daemon/entry/router.h"
#include "gentianplank/metrics/metered_store.h"
#include "gentianplank/statement/dispatcher.h"
#include "gentianplank/store/counting_table_store.h"
#include "gentianplank/store/grpc_platform.h"
#include "gentianplank/vm/member_log.h"

#include <grpcpp/health_check_service_interface.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

namespace gentianplank {

namespace {

// The service name under which gRPC's health service reports readiness: the caller contract's.
const char *const HealthServiceName = "gentianplank.caller.v1.Caller";
constexpr Duration HealthUpdateInterval = std::chrono::milliseconds(200);
// How often idle and blocked requests are checked for a withdrawn key or a lost membership lease.
constexpr Duration AuthorisationCheckInterval = std::chrono::milliseconds(200);

// Bounds for the threads that poll each completion queue for callers' requests. gRPC's default
// maximum of two makes it end and start a thread at almost every request.
constexpr int CompletionQueues = 2;
constexpr int MinPollers = 4;
constexpr int MaxPollers = 16;

VmInfo localVmInfo(const Settings &settings)
{
    VmInfo info;
    info.name = settings.vm.name;
    info.address = settings.listen.peers;
    info.place = {settings.vm.zone, settings.vm.region};
    return info;
}

} // namespace

struct Daemon::State
{
    explicit State(const Settings &daemonSettings)
        : settings(daemonSettings)
        , self(localVmInfo(daemonSettings))
    {}

    void onConfigurationApplied()
    {
        groupController.updateTargets();
        rateController.update(steadyNow());
    }

    bool isReady() const
    {
        return !fleetState.leaving && fleetState.membershipLease.isValid(steadyNow()) &&
               fleetState.configuration.get()->revision() > 0;
    }

    void reportHealth(bool isServing) const
    {
        callerServer->GetHealthCheckService()->SetServingStatus(HealthServiceName, isServing);
    }

    Settings settings;
    VmInfo self;
    std::string sessionSecret = readSecretFile(settings.secrets.sessionSecretFile);
    std::string operatorKey = readSecretFile(settings.secrets.operatorKeyFile);
    ChannelFactory channels{settings.tls};
    ChannelFactory targetChannels{tlsForTargets(settings.tls)};
    ChannelFactory platformChannels{tlsForPlatform(settings.tls)};
    GrpcPlatform platform{platformChannels.channelTo(settings.platform.address)};
    Metrics metrics;
    MeteredTableStore meteredTables{platform.tables(), metrics};
    CountingTableStore tables{meteredTables};
    FleetState fleetState;
    GroupViewRegistry groups;
    RateLimiter limiter;
    Admission admission{static_cast<size_t>(settings.limits.queuedRequests)};
    std::unique_ptr<MemberConnector> connector = makeGrpcMemberConnector(targetChannels);
    ConnectionPool pool{*connector};
    Dispatcher dispatcher{
        {groups, pool, admission, self.place, [this] { return fleetState.configuration.get(); }}};
    Router router{fleetState, groups, channels, self, dispatcher};
    MeteredRunner meteredRunner{router, groups, metrics};
    RequestAuthoriser authoriser{
        fleetState, limiter, [this](const Refusal &refusal) { metrics.refusedAtEntry(refusal); }};
    ChangeLog changeLog{tables, membersKey(0)};
    ControlLoop loop;
    PeerClients peerClients{loop, channels};
    RateController rateController{loop, channels, fleetState, limiter, self.name};
    GroupController groupController{loop, targetChannels, fleetState, groups, self.name};
    FailoverController failover{loop, channels, targetChannels, fleetState, groups, tables, self};
    ConfigurationController configuration{{loop, changeLog, platform.objects(), fleetState,
                                           peerClients, [this] { onConfigurationApplied(); }}};
    MembershipController membership{
        {loop, tables, fleetState, peerClients, [this] { onConfigurationApplied(); },
         [this](const std::string &address) { configuration.catchUp(address); }},
        self};
    std::unique_ptr<caller::v1::Caller::Service> callerService =
        makeCallerService(authoriser, meteredRunner, self.name, sessionSecret);
    std::unique_ptr<vm::v1::Peer::Service> peerService = makePeerService(
        {router, [this](const auto &request) { return membership.onHeartbeat(request); },
         [this](const auto &request) { return configuration.onWitness(request); },
         [this](const auto &request) { return configuration.onFetchChanges(request); },
         [this](const auto &request) { return rateController.lend(request); },
         [this](const auto &request) { return failover.observe(request); }});
    std::unique_ptr<admin::v1::Administration::Service> adminService =
        makeAdminService({configuration, fleetState, groups, self.name, operatorKey,
                          [this](const auto &request) { return failover.switchPrimary(request); }});
    std::unique_ptr<grpc::Server> callerServer;
    std::unique_ptr<grpc::Server> peerServer;
    bool isLoopRunning = false;
    bool isStopped = false;
};

Daemon::Daemon(const Settings &settings)
    : m_state(std::make_unique<State>(settings))
{}

Daemon::~Daemon()
{
    shutDown();
}

std::string Daemon::start()
{
    const ListenSettings &listen = m_state->settings.listen;
    if (m_state->sessionSecret.empty() || m_state->operatorKey.empty()) {
        return "the session secret file or the operator key file is empty or can't be read";
    }
    registerFleetGauges(m_state->metrics, m_state->fleetState, m_state->groups,
                        [state = m_state.get()] { return state->isReady(); });
    if (!listen.metrics.empty()) {
        std::string error = m_state->metrics.expose(listen.metrics);
        if (!error.empty()) {
            return error;
        }
    }
    grpc::EnableDefaultHealthCheckService(true);
    // With SO_REUSEPORT, a second process could listen on the same address, and each would receive
    // some of the other's calls.
    grpc::ServerBuilder peers;
    peers.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    peers.AddListeningPort(listen.peers, m_state->channels.serverCredentials(true));
    peers.RegisterService(m_state->peerService.get());
    m_state->peerServer = peers.BuildAndStart();
    grpc::ServerBuilder callers;
    callers.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    callers.AddListeningPort(listen.callers, m_state->channels.serverCredentials(false));
    callers.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, MinPollers);
    callers.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, MaxPollers);
    callers.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, CompletionQueues);
    callers.RegisterService(m_state->callerService.get());
    callers.RegisterService(m_state->adminService.get());
    m_state->callerServer = callers.BuildAndStart();
    if (m_state->peerServer == nullptr || m_state->callerServer == nullptr) {
        return "can't listen for peers on " + listen.peers + " or for callers on " + listen.callers;
    }
    m_state->loop.every(HealthUpdateInterval,
                        [state = m_state.get()] { state->reportHealth(state->isReady()); });
    m_state->configuration.start(m_state->membership);
    m_state->membership.start();
    m_state->failover.start();
    m_state->rateController.start();
    m_state->loop.every(AuthorisationCheckInterval,
                        [this] { m_state->authoriser.cancelUnauthorised(steadyNow()); });
    m_state->loop.start();
    m_state->isLoopRunning = true;
    logInfo("daemon", "VM ", m_state->self.name, " is listening for callers on ", listen.callers,
            ".");
    return {};
}

bool Daemon::isReady() const
{
    return m_state->isReady();
}

StoreCallCounts Daemon::storeCalls() const
{
    return m_state->tables.calls();
}

void Daemon::shutDown()
{
    if (m_state->isStopped) {
        return;
    }
    m_state->isStopped = true;
    m_state->fleetState.leaving = true;
    const auto deadline = std::chrono::system_clock::now() + m_state->settings.limits.shutdownGrace;
    if (m_state->callerServer != nullptr) {
        m_state->reportHealth(false);
        m_state->membership.leave();
        m_state->callerServer->Shutdown(deadline);
        m_state->rateController.release();
        m_state->membership.removeSelf();
    }
    if (m_state->peerServer != nullptr) {
        m_state->peerServer->Shutdown(deadline);
    }
    if (m_state->isLoopRunning) {
        m_state->groupController.stop();
        m_state->failover.stop();
    }
    m_state->loop.stop();
    m_state->metrics.stop();
    logInfo("daemon", "VM ", m_state->self.name, " has shut down.");
}

void Daemon::halt()
{
    if (m_state->isStopped) {
        return;
    }
    m_state->isStopped = true;
    const auto now = std::chrono::system_clock::now();
    m_state->callerServer->Shutdown(now);
    m_state->peerServer->Shutdown(now);
    m_state->groupController.stop();
    m_state->loop.stop();
    m_state->metrics.stop();
}

tl::expected<std::unique_ptr<Daemon>, std::string> startDaemon(const Settings &settings)
{
    auto daemon = std::make_unique<Daemon>(settings);
    const std::string error = daemon->start();
    if (!error.empty()) {
        return tl::unexpected(error);
    }
    return daemon;
}

} // namespace gentianplank
