#include "gentianplank/node/traffic/traffic_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/http/endpoint.h"
#include "gentianplank/node/traffic/explain.h"
#include "gentianplank/platform/names.h"

#include <boost/asio/post.hpp>

namespace gentianplank {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Resolution of statement deadlines and retries.
constexpr Duration TickInterval = std::chrono::milliseconds(20);
// Peers are asked for proofs of the groups' records when this VM's own proof is older than this.
// The feed renews it every 0.9 s.
constexpr Duration PeerProofThreshold = std::chrono::milliseconds(1400);
// A starting process has a proven configuration within this time unless the store is unavailable.
// Callers wait 2 s for a session to start.
constexpr Duration StartupGrace = std::chrono::milliseconds(1500);
constexpr std::string_view MetricsPath = "/metrics";

} // namespace

HttpAnswer Traffic::State::answerHttp(const HttpCall &call) const
{
    if (call.target == platform::ReadinessPath) {
        return {isReady() ? 200U : 503U, "", "text/plain", Duration::zero()};
    }
    if (call.target == MetricsPath) {
        return {200, metrics.text(clientUse()), "text/plain; version=0.0.4", Duration::zero()};
    }
    if (std::string_view(call.target).substr(0, call.target.find('?')) == ExplainPath) {
        return answerExplain(call);
    }
    return {404, "", "text/plain", Duration::zero()};
}

std::optional<std::string> Traffic::State::listen(uint16_t metricsPort)
{
    if (auto error = callerListener.start(settings.callerAddress)) {
        return "listening for callers: " + *error;
    }
    const auto answer = [this](const HttpCall &call) { return answerHttp(call); };
    readinessListener = std::make_unique<HttpListener>(ioContext, settings.readyAddress, answer);
    if (auto error = readinessListener->start()) {
        return "listening for readiness checks: " + *error;
    }
    if (metricsPort != 0) {
        metricsListener = std::make_unique<HttpListener>(
            ioContext, settings.ip + ":" + std::to_string(metricsPort), answer);
        // Not fatal: callers are served without metrics.
        if (const auto error = metricsListener->start()) {
            logEvent("metrics.unavailable", {{"why", *error}});
        }
    }
    peerAddress = settings.ip + ":" + std::to_string(settings.firstPeerPort);
    if (auto error = mesh->listen(peerAddress)) {
        return "listening for peers: " + *error;
    }
    return std::nullopt;
}

void Traffic::State::createComponents(ZoneOptions zones)
{
    PeerMeshHandler meshHandler;
    meshHandler.onRequest = [this](const std::shared_ptr<PeerLink> &link,
                                   const peer::v1::Frame &frame) {
        handlePeerRequest(link, frame);
    };
    meshHandler.onOriginClosed = [this](uint64_t origin) {
        for (const auto &[id, dispatcher] : dispatchers) {
            dispatcher->endTransactionsOfOrigin(origin);
        }
    };
    meshHandler.onReply = [this](const std::string &vm, const peer::v1::Frame &frame) {
        handlePeerReply(vm, frame);
    };
    meshHandler.onLinkLost = [this](const std::string &vm) { handler.onPeerLost(vm); };
    meshHandler.onPong = [this](const std::string &, const peer::v1::Pong &pong,
                                BootInstant sentAt) { handlePong(pong, sentAt); };
    meshHandler.memory = memory;
    mesh =
        std::make_unique<PeerMesh>(ioContext, settings.name, incarnation, std::move(meshHandler));

    rates = std::make_unique<RateExchange>(
        settings.name, settings.place,
        ShareDelays{times.rateIncreaseDelay, times.rateReductionTime},
        RateExchangeEnvironment{[this](const std::string &vm) { return mesh->isReachable(vm); },
                                [this](const std::string &vm, const peer::v1::Frame &frame) {
                                    return mesh->send(vm, frame);
                                }});

    RouterEnvironment routerEnvironment;
    routerEnvironment.view = [this] { return view; };
    routerEnvironment.usablePrimary = [this](const std::string &group) {
        return usablePrimary(group);
    };
    routerEnvironment.dispatchers = [this](const std::string &member) {
        return dispatchTable.dispatchersOf(member);
    };
    routerEnvironment.isReachable = [this](const std::string &vm) {
        return vm == settings.name ? !isHandedOver : mesh->isReachable(vm);
    };
    routerEnvironment.execute = [this](const std::string &vm, const ForwardedStatement &statement,
                                       OutcomeHandler done) {
        execute(vm, statement, std::move(done));
    };
    routerEnvironment.provenRouting = [this] { return provenRouting(); };
    routerEnvironment.ownName = settings.name;
    routerEnvironment.onPathUsed = [this](Distance distance, size_t bytes) {
        metrics.countPath(distance, bytes);
    };
    zonePolicy = zones.policy;
    zones.vm = settings.name;
    zones.vmLinkMbps = settings.linkMbps;
    router = std::make_unique<StatementRouter>(settings.place, std::move(routerEnvironment),
                                               std::move(zones));

    sessionEnvironment.provenRouting = [this] { return provenRouting(); };
    sessionEnvironment.awaitRouting = [this](std::function<void()> resume) {
        if (hasEverBeenProven || steadyNow() - startedAt >= StartupGrace) {
            return false;
        }
        waitingSessions.push_back(std::move(resume));
        return true;
    };
    createClientLimits();
    sessionEnvironment.router = router.get();
    sessionEnvironment.rates = rates.get();
    sessionEnvironment.endTransaction = [this](const std::string &vm, const std::string &member,
                                               uint64_t session) {
        endTransaction(vm, member, session);
    };
    sessionEnvironment.report = [this](const StatementReport &report) { metrics.count(report); };
}

void Traffic::State::scheduleTick()
{
    tickTimer.expires_after(TickInterval);
    tickTimer.async_wait([this](error_code ec) {
        if (!ec) {
            tick();
            scheduleTick();
        }
    });
}

void Traffic::State::tick()
{
    const Instant now = steadyNow();
    mesh->tick(bootNow() - proofs.fleet > PeerProofThreshold);
    rates->tick();
    router->tick();
    // Iterates over a copy, as callbacks may add dispatchers.
    auto current = dispatchers;
    for (const auto &[id, dispatcher] : current) {
        dispatcher->tick();
    }
    completeReleases(now);
    requestSamples(now);
    resumeWaitingSessions();
    enforceClientLimits(now);
    const bool isProven = hasProvenConfiguration();
    if (isProven != wasLoggedProven) {
        wasLoggedProven = isProven;
        logEvent(isProven ? "configuration.proven" : "configuration.unproven",
                 {{"revision", view->routing ? view->routing->revision : 0},
                  {"proof_age_ms", toMilliseconds(bootNow() - proofs.configuration)}});
    }
    if (stoppingSince) {
        advanceShutdown(now);
    }
}

void Traffic::State::resumeWaitingSessions()
{
    hasEverBeenProven = hasEverBeenProven || hasProvenConfiguration();
    if (hasEverBeenProven || steadyNow() - startedAt >= StartupGrace) {
        for (const auto &resume : std::exchange(waitingSessions, {})) {
            resume();
        }
    }
}

bool Traffic::State::hasProvenConfiguration() const
{
    return view->routing && bootNow() - proofs.configuration < times.configurationProofLifetime;
}

std::shared_ptr<const Routing> Traffic::State::provenRouting() const
{
    return hasProvenConfiguration() ? view->routing : nullptr;
}

bool Traffic::State::isReady() const
{
    return !stoppingSince && hasProvenConfiguration() && !view->vms.empty() && acceptsCallers();
}

// Starts the shutdown, planned for the current grace and routes.
void Traffic::State::beginShutdown()
{
    if (stoppingSince) {
        return;
    }
    const Duration longest = view->routing ? longestStatement(*view->routing) : Duration::zero();
    stoppingSince = steadyNow();
    stopSchedule = gentianplank::stopSchedule(settings.grace, longest);
    sessionEnvironment.answerDeadline = *stoppingSince + stopSchedule.lastAnswer;
    logEvent(
        "stop.planned",
        {{"grace_ms", toMilliseconds(settings.grace)},
         {"longest_statement_ms", toMilliseconds(longest)},
         {"hand_over_ms", toMilliseconds(stopSchedule.handOver)},
         {"close_sessions_ms", toMilliseconds(stopSchedule.closeSessions)},
         {"last_answer_ms", toMilliseconds(stopSchedule.lastAnswer)},
         {"warning",
          stopSchedule.isTooShort
              ? "the grace is too short for the longest statement; some statements may be cut off"
              : ""}});
}

// Runs the shutdown steps that are due: hands dispatching over, ends transactions, closes idle
// sessions once the load balancer has stopped sending callers, and calls onStopped at the end.
void Traffic::State::advanceShutdown(Instant now)
{
    if (hasStopped) {
        return;
    }
    const Duration since = now - *stoppingSince;
    if (since > stopSchedule.handOver && !isHandedOver) {
        isHandedOver = true;
        updateDispatchers();
        handler.onHandOver();
    }
    if (since > stopSchedule.endTransactions) {
        for (const auto &[number, session] : sessions) {
            session->abortTransaction("this VM is shutting down");
        }
    }
    if (since > stopSchedule.closeSessions) {
        auto current = sessions;
        for (const auto &[number, session] : current) {
            session->closeIfIdle("this VM is shutting down");
        }
    }
    bool isIdle = sessions.empty();
    for (const auto &[id, dispatcher] : dispatchers) {
        isIdle = isIdle && dispatcher->isIdle();
    }
    if ((isIdle && since > stopSchedule.closeSessions) || since > stopSchedule.end) {
        hasStopped = true;
        logEvent("traffic.stopped", {{"open_sessions", sessions.size()}});
        handler.onStopped();
    }
}

Traffic::Traffic(EntryVmSettings settings, uint64_t incarnation, TrafficHandler handler,
                 ZoneOptions zones)
    : m_state(std::make_shared<State>(std::move(settings), incarnation, std::move(handler)))
{
    m_state->createComponents(std::move(zones));
}

Traffic::~Traffic()
{
    join();
}

std::optional<std::string> Traffic::start(uint16_t metricsPort)
{
    if (auto error = m_state->listen(metricsPort)) {
        return error;
    }
    m_state->scheduleTick();
    m_state->thread = std::thread([state = m_state] { state->ioContext.run(); });
    return std::nullopt;
}

std::string Traffic::peerAddress() const
{
    return m_state->peerAddress;
}

void Traffic::publish(std::shared_ptr<const FleetView> view)
{
    asio::post(m_state->ioContext, [state = m_state, view = std::move(view)] {
        state->view = view;
        state->dispatchTable.update(view);
        state->updateColdRoles();
        state->mesh->setPeers(view->vms);
        state->rates->update(*view, steadyNow());
        state->updateDispatchers();
        state->router->retryWaiting();
        state->resumeWaitingSessions();
    });
}

void Traffic::publishProofs(const FleetProofs &proofs)
{
    asio::post(m_state->ioContext, [state = m_state, proofs] {
        state->proofs = proofs;
        state->resumeWaitingSessions();
    });
}

void Traffic::applySettings(const EntryVmSettings &settings)
{
    asio::post(m_state->ioContext, [state = m_state, settings] {
        state->settings = settings;
        state->times = derivedTimes(settings);
        state->rates->setDelays({state->times.rateIncreaseDelay, state->times.rateReductionTime});
        state->applyClientLimits();
    });
}

void Traffic::sendToPeer(const std::string &vm, const peer::v1::Frame &frame)
{
    asio::post(m_state->ioContext, [state = m_state, vm, frame] {
        if (vm != state->settings.name) {
            if (!state->mesh->send(vm, frame)) {
                state->handler.onPeerLost(vm);
            }
            return;
        }
        state->handler.onControlRequest(
            frame, [state, vm, probe = frame.probe()](const peer::v1::Frame &reply) {
                asio::post(state->ioContext, [state, vm, probe, reply] {
                    state->handler.onControlReply(vm, state->withEvidence(probe, reply));
                });
            });
    });
}

void Traffic::releasePrimary(const std::string &group, uint64_t epoch, bool isOrderly,
                             std::function<void()> done)
{
    asio::post(m_state->ioContext,
               [state = m_state, group, epoch, isOrderly, done = std::move(done)] {
                   state->releaseEpoch(group, epoch, isOrderly, done);
               });
}

void Traffic::stop()
{
    asio::post(m_state->ioContext, [state = m_state] { state->beginShutdown(); });
}

void Traffic::join()
{
    m_state->ioContext.stop();
    if (m_state->thread.joinable()) {
        m_state->thread.join();
    }
}

} // namespace gentianplank
