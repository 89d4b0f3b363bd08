#include "gentianplank/node/traffic/traffic_state.h"

namespace gentianplank {

namespace {

// Time for transactions to end in an orderly change of their primary.
constexpr Duration OrderlyChangeGrace = std::chrono::milliseconds(400);

} // namespace

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
    environment.sendPermission = [this](const std::string &zone, bool isOpenTransaction) {
        return sendPermission(zone, isOpenTransaction);
    };
    environment.provenRouting = [this] { return provenRouting(); };
    environment.coldPhase = [this, member] { return coldPhase(member); };
    environment.onUnreachable = [this](const MemberEntry &entry, const std::string &) {
        handler.onMemberUnreachable(entry.group, entry.id);
    };
    environment.onPrimaryFailing = [this](const MemberEntry &entry, const Evidence &evidence) {
        handler.onPrimaryFailing(entry.group, entry.id, evidence);
    };
    environment.onPrimaryPosition = [this](const std::string &name, uint64_t epoch,
                                           const PositionSample &sample) {
        addSample(histories[name], epoch, sample);
    };
    environment.positionCovering = [this](const std::string &name, BootInstant before) {
        return gentianplank::positionCovering(histories[name], before);
    };
    environment.onConnectionOpened = [this] { metrics.countConnection(); };
    environment.memory = memory;
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
        limits.hasColdPhase = group != nullptr && settings.coldOverage > 0 && hasColdPhase(*group);
    }
    limits.isInOtherRegion = distanceBetween(member.place, settings.place) == Distance::OtherRegion;
    return limits;
}

void Traffic::State::updateDispatchers()
{
    retireUnlisted(dispatchers, *view);
    for (const auto &[id, dispatcher] : dispatchers) {
        const FleetMember &member = view->members.find(id)->second;
        dispatcher->update(member.entry, dispatcherLimits(member));
        const auto ranked = dispatchTable.dispatchersOf(id);
        dispatcher->setPreferredDispatcher(!ranked.empty() &&
                                           ranked.front()->name == settings.name && !isHandedOver);
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

} // namespace gentianplank
