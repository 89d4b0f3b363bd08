#include "gentianplank/node/traffic/traffic_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/http/endpoint.h"
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
// Time for transactions to end in an orderly change of their primary.
constexpr Duration OrderlyChangeGrace = std::chrono::milliseconds(400);
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
        return {200, metrics.text(), "text/plain; version=0.0.4", Duration::zero()};
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

void Traffic::State::createComponents()
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
    router = std::make_unique<StatementRouter>(settings.place, std::move(routerEnvironment));

    sessionEnvironment.provenRouting = [this]() -> std::shared_ptr<const Routing> {
        return hasProvenConfiguration() ? view->routing : nullptr;
    };
    sessionEnvironment.awaitRouting = [this](std::function<void()> resume) {
        if (hasEverBeenProven || steadyNow() - startedAt >= StartupGrace) {
            return false;
        }
        waitingSessions.push_back(std::move(resume));
        return true;
    };
    sessionEnvironment.unreadBudget = std::make_shared<UnreadBudget>();
    sessionEnvironment.unreadBudget->limit = maxUnreadBytes(settings);
    sessionEnvironment.router = router.get();
    sessionEnvironment.rates = rates.get();
    sessionEnvironment.endTransaction = [this](const std::string &vm, const std::string &member,
                                               uint64_t session) {
        endTransaction(vm, member, session);
    };
    sessionEnvironment.report = [this](const StatementReport &report) { metrics.count(report); };
    sessionEnvironment.onClosed = [this](uint64_t session) {
        asio::post(ioContext, [this, session] { sessions.erase(session); });
    };
}

void Traffic::State::acceptCaller(asio::ip::tcp::socket socket)
{
    if (sessions.size() >= maxCallers(settings)) {
        logEvent("session.refused", {{"why", "session limit reached"}, {"open", sessions.size()}});
        resetSocket(socket);
        return;
    }
    const uint64_t number = nextSession++;
    auto session = std::make_shared<CallerSession>(std::move(socket), number, sessionEnvironment);
    sessions[number] = session;
    session->start();
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

bool Traffic::State::isReady() const
{
    return !stoppingSince && hasProvenConfiguration() && !view->vms.empty();
}

std::optional<GroupRecord> Traffic::State::usablePrimary(const std::string &group) const
{
    const auto it = view->groups.find(group);
    if (it == view->groups.end() || !mayUsePrimary(group, it->second.epoch)) {
        return std::nullopt;
    }
    const auto member = view->members.find(it->second.primary);
    const bool isLeavingTooLong = member != view->members.end() &&
                                  member->second.leavingSince != BootInstant{} &&
                                  bootNow() - member->second.leavingSince > times.leavingPrimaryUse;
    if (isLeavingTooLong) {
        return std::nullopt;
    }
    return it->second;
}

// Returns the record with its most recent proof, from this VM or a peer.
PrimaryLease Traffic::State::primaryLeaseOf(const GroupRecord &record) const
{
    PrimaryLease lease{record, proofs.fleet};
    const auto until = view->recordsProvenUntil.find(record.group);
    if (until != view->recordsProvenUntil.end()) {
        lease.provenAt = std::min(lease.provenAt, until->second);
    }
    const auto it = peerProofs.find(record.group);
    if (it != peerProofs.end() && it->second.first == record.epoch) {
        lease.provenAt = std::max(lease.provenAt, it->second.second);
    }
    return lease;
}

bool Traffic::State::mayUsePrimary(const std::string &group, uint64_t epoch) const
{
    const auto it = view->groups.find(group);
    const auto released = releasedEpochs.find(group);
    return it != view->groups.end() && it->second.epoch == epoch &&
           (released == releasedEpochs.end() || epoch >= released->second) &&
           gentianplank::mayUsePrimary(primaryLeaseOf(it->second), bootNow());
}

std::shared_ptr<MemberDispatcher> Traffic::State::dispatcherFor(const std::string &member)
{
    const auto known = dispatchers.find(member);
    if (known != dispatchers.end()) {
        return known->second;
    }
    const auto it = view->members.find(member);
    if (it == view->members.end() || !view->routing) {
        return nullptr;
    }
    DispatcherEnvironment environment;
    environment.mayUsePrimary = [this](const std::string &name, uint64_t epoch) {
        return mayUsePrimary(name, epoch);
    };
    environment.onUnreachable = [this](const MemberEntry &entry, const std::string &) {
        handler.onMemberUnreachable(entry.group, entry.id);
    };
    environment.onPrimaryPosition = [this](const std::string &name, uint64_t epoch,
                                           const PositionSample &sample) {
        addSample(histories[name], epoch, sample);
    };
    environment.positionCovering = [this](const std::string &name, BootInstant before) {
        return gentianplank::positionCovering(histories[name], before);
    };
    environment.onConnectionOpened = [this] { metrics.countConnection(); };
    auto dispatcher = std::make_shared<MemberDispatcher>(
        ioContext, std::move(environment), it->second.entry, dispatcherLimits(it->second));
    dispatchers[member] = dispatcher;
    return dispatcher;
}

DispatcherLimits Traffic::State::dispatcherLimits(const FleetMember &member) const
{
    DispatcherLimits limits;
    if (view->routing) {
        const GroupLimits *group = view->routing->group(member.entry.group);
        limits.connections = group == nullptr ? 1 : group->connectionLimit;
        limits.transactionIdle = view->routing->limits.transactionIdle;
    }
    limits.isInOtherRegion = distanceBetween(member.place, settings.place) == Distance::OtherRegion;
    return limits;
}

void Traffic::State::updateDispatchers()
{
    for (auto it = dispatchers.begin(); it != dispatchers.end();) {
        const auto member = view->members.find(it->first);
        if (member == view->members.end()) {
            const auto dispatcher = it->second;
            it = dispatchers.erase(it);
            dispatcher->close("the member is no longer listed");
            continue;
        }
        it->second->update(member->second.entry, dispatcherLimits(member->second));
        const auto ranked = dispatchTable.dispatchersOf(it->first);
        it->second->setPreferredDispatcher(!ranked.empty() &&
                                           ranked.front()->name == settings.name && !isHandedOver);
        ++it;
    }
}

void Traffic::State::executeLocally(const ForwardedStatement &statement, OutcomeHandler done)
{
    const auto dispatcher = dispatcherFor(statement.member);
    if (!dispatcher) {
        done(unreachable("unknown member " + statement.member));
        return;
    }
    if (isHandedOver && !statement.continuesTransaction) {
        done(unreachable("this VM is shutting down"));
        return;
    }
    dispatcher->execute(statement, std::move(done));
}

void Traffic::State::execute(const std::string &vm, const ForwardedStatement &statement,
                             OutcomeHandler done)
{
    if (vm == settings.name) {
        executeLocally(statement, std::move(done));
        return;
    }
    mesh->call(vm, statement, std::move(done));
}

void Traffic::State::endTransaction(const std::string &vm, const std::string &member,
                                    uint64_t session)
{
    if (vm == settings.name) {
        const auto it = dispatchers.find(member);
        if (it != dispatchers.end()) {
            it->second->endTransaction({0, session});
        }
        return;
    }
    peer::v1::Frame frame;
    frame.mutable_end_transaction()->set_member(member);
    frame.mutable_end_transaction()->set_session(session);
    mesh->send(vm, frame);
}

void Traffic::State::releaseEpoch(const std::string &group, uint64_t epoch, bool isOrderly,
                                  std::function<void()> done)
{
    releasedEpochs[group] = std::max(releasedEpochs[group], epoch);
    const Instant now = steadyNow();
    releases.push_back(
        {group, epoch, isOrderly ? now + OrderlyChangeGrace : now, {std::move(done)}});
    completeReleases(now);
}

// Completes the releases whose group no longer uses the old primary; aborts uses that exceed their
// time.
void Traffic::State::completeReleases(Instant now)
{
    std::vector<EpochRelease> ended;
    std::erase_if(releases, [&](EpochRelease &it) {
        bool isUsed = false;
        for (const auto &[id, dispatcher] : dispatchers) {
            const auto member = view->members.find(id);
            if (member == view->members.end() || member->second.entry.group != it.group) {
                continue;
            }
            if (now >= it.abortAt) {
                dispatcher->abortPrimaryUseBeforeEpoch(it.epoch);
            }
            isUsed = isUsed || dispatcher->usesPrimaryBeforeEpoch(it.epoch);
        }
        if (!isUsed) {
            ended.push_back(std::move(it));
        }
        return !isUsed;
    });
    for (const EpochRelease &it : ended) {
        for (const auto &done : it.done) {
            done();
        }
    }
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

Traffic::Traffic(EntryVmSettings settings, uint64_t incarnation, TrafficHandler handler)
    : m_state(std::make_shared<State>(std::move(settings), incarnation, std::move(handler)))
{
    m_state->createComponents();
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
        state->sessionEnvironment.unreadBudget->limit = maxUnreadBytes(settings);
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
        state->handler.onControlRequest(frame, [state, vm](const peer::v1::Frame &reply) {
            state->handler.onControlReply(vm, reply);
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
