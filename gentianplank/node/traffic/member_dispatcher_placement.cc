#include "gentianplank/node/traffic/member_dispatcher_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/node/traffic/authority.h"

#include <utility>

namespace gentianplank {

SendPermission MemberDispatcher::State::permissionFor(bool isOpenTransaction) const
{
    return environment.sendPermission ? environment.sendPermission(entry.zone, isOpenTransaction)
                                      : SendPermission::Granted;
}

// Returns the outcome of a statement that may not be sent. Another VM may have a newer proof;
// an evacuated member is evacuated for all.
StatementOutcome MemberDispatcher::State::refusalOf(SendPermission permission,
                                                    bool isOpenTransaction)
{
    const bool isProven = permission != SendPermission::ProofTooOld;
    StatementOutcome outcome =
        notRun(isOpenTransaction ? ErrorCode::Aborted : ErrorCode::Busy,
               isProven ? "the member's zone is evacuated"
                        : "this VM's proof of the evacuated zones is too old");
    outcome.isUnreachable = !isProven;
    return outcome;
}

// Whether to roll back by a statement. Otherwise the connection is closed, which has the same
// effect at the member: without a proof, nothing is sent.
bool MemberDispatcher::State::mayRollBack(const MemberLink &link) const
{
    return link.isOpen() && !link.isBusy() && permissionFor(true) != SendPermission::ProofTooOld;
}

// Returns the refusal of a statement that may not run for its organisation.
std::optional<StatementOutcome>
MemberDispatcher::State::refusalByConfiguration(const Job &job) const
{
    if (!environment.provenRouting) {
        return std::nullopt;
    }
    return authorityRefusal(environment.provenRouting().get(), job.statement);
}

// After a change of the configuration, rejects the waiting statements that may no longer run.
void MemberDispatcher::State::enforceConfiguration()
{
    const auto routing = environment.provenRouting ? environment.provenRouting() : nullptr;
    const uint64_t revision = routing ? routing->revision : 0;
    if (std::exchange(checkedRevision, revision) == revision) {
        return;
    }
    // All are removed before the first is reported, whose sender may add others.
    std::vector<std::pair<JobPointer, StatementOutcome>> rejected;
    const auto isRejected = [&](const JobPointer &job) {
        auto refusal = refusalByConfiguration(*job);
        if (refusal) {
            rejected.emplace_back(job, std::move(*refusal));
        }
        return refusal.has_value();
    };
    std::erase_if(waiting, [&](const auto &it) {
        const bool isErased = isRejected(it.second);
        if (isErased) {
            remove(queue, it.second->statement.organisation, it.first);
        }
        return isErased;
    });
    std::erase_if(stalled, isRejected);
    std::erase_if(continuing, isRejected);
    for (auto &[job, refusal] : rejected) {
        reportOutcome(job, std::move(refusal));
    }
}

// Returns why a statement on its connection may not be sent.
std::optional<StatementOutcome> MemberDispatcher::State::refusalBeforeSending(const Job &job)
{
    const bool isOpenTransaction = job.statement.continuesTransaction;
    const SendPermission permission = permissionFor(isOpenTransaction);
    if (permission != SendPermission::Granted) {
        return refusalOf(permission, isOpenTransaction);
    }
    updateColdPhase();
    if (cold.isCold && (isWithoutAllowance() || !job.hasReservation)) {
        return notRun(isOpenTransaction ? ErrorCode::Aborted : ErrorCode::Busy,
                      "the member has become cold", MinRetryAfter);
    }
    return refusalByConfiguration(job);
}

// Sends a statement on its connection; the last place where it may be rejected instead.
void MemberDispatcher::State::sendIfPermitted(const JobPointer &job)
{
    const ForwardedStatement &statement = job->statement;
    auto refusal = refusalBeforeSending(*job);
    if (!refusal) {
        if (job->hasReservation) {
            job->hasReservation = false;
            spend(allowance);
        }
        sendStatement(job);
        return;
    }
    const auto link = job->link;
    if (statement.continuesTransaction || statement.opensTransaction) {
        pinned.erase(statement.session);
        rollBack(link);
    } else {
        keepIdle(link);
    }
    finish(job, std::move(*refusal));
}

// Rejects what waits for a member of an evacuated zone, and rolls back its transactions when their
// time is over. One whose statement is running is rolled back after the answer.
void MemberDispatcher::State::enforceEvacuation()
{
    if (permissionFor(false) == SendPermission::Evacuated &&
        !(waiting.empty() && stalled.empty())) {
        rejectQueued("the member's zone is evacuated");
    }
    if (pinned.empty() || permissionFor(true) != SendPermission::Evacuated) {
        return;
    }
    std::vector<std::shared_ptr<MemberLink>> ended;
    std::erase_if(pinned, [&](const auto &it) {
        if (!it.second.isRunning) {
            logEvent("transaction.evacuated",
                     {{"member", entry.id}, {"session", it.first.session}});
            ended.push_back(it.second.link);
        }
        return !it.second.isRunning;
    });
    for (const auto &link : ended) {
        rollBack(link);
    }
}

// Brings the member's cold phase and what is left of its allowance up to date.
void MemberDispatcher::State::updateColdPhase()
{
    if (!limits.hasColdPhase && !cold.isCold) {
        return;
    }
    const bool wasCold = cold.isCold;
    const BootInstant now = bootNow();
    cold = limits.hasColdPhase && environment.coldPhase ? environment.coldPhase() : ColdPhase{};
    if (cold.isCold && cold.usableFrom && now >= *cold.usableFrom) {
        refill(allowance, cold.limit, *cold.usableFrom, now);
    } else {
        allowance = {};
    }
    if (cold.isCold != wasCold) {
        logEvent(cold.isCold ? "member.cold" : "member.warm",
                 {{"member", entry.id},
                  {"group", entry.group},
                  {"first_dispatcher", cold.usableFrom.has_value()}});
    }
}

// Whether the member is cold and this VM may send nothing to it.
bool MemberDispatcher::State::isWithoutAllowance() const
{
    return cold.isCold && allowance.refilledAt == BootInstant{};
}

// Whether a slot and, if the member is cold, a token are free for a statement.
bool MemberDispatcher::State::mayStartAnother()
{
    updateColdPhase();
    return running() < maxRunning() && (!cold.isCold || canReserve(allowance));
}

void MemberDispatcher::State::reserveAllowance(const JobPointer &job)
{
    job->hasReservation = job->hasReservation || (cold.isCold && reserve(allowance));
}

void MemberDispatcher::State::releaseAllowance(const JobPointer &job)
{
    if (job->hasReservation) {
        job->hasReservation = false;
        release(allowance);
    }
}

// Counts requests that set a connection up for a statement.
void MemberDispatcher::State::chargeAllowance(double requests)
{
    if (cold.isCold) {
        charge(allowance, requests);
    }
}

void MemberDispatcher::State::markSetupStep(const JobPointer &job)
{
    job->lastRequestAt = steadyNow();
    chargeAllowance(1);
}

// Returns the refusal of a new statement that the allowance of a cold member can't serve in time.
std::optional<StatementOutcome> MemberDispatcher::State::coldRefusal(const Job &job)
{
    if (!limits.hasColdPhase) {
        return std::nullopt;
    }
    updateColdPhase();
    if (!cold.isCold) {
        return std::nullopt;
    }
    const bool isOpenTransaction = job.statement.continuesTransaction;
    if (isWithoutAllowance()) {
        const BootInstant now = bootNow();
        const Duration left = cold.usableFrom ? *cold.usableFrom - now : MinRetryAfter;
        return notRun(isOpenTransaction ? ErrorCode::Aborted : ErrorCode::Busy,
                      "the member is cold, and this VM may not use its allowance",
                      std::max(left, MinRetryAfter));
    }
    const Duration wait = expectedWaitOf(job);
    if (!isOpenTransaction && steadyNow() + wait + MinRemainingTime > job.deadline) {
        return notRun(ErrorCode::Busy, "the member is cold, and its allowance is used up", wait);
    }
    return std::nullopt;
}

// Rejects what waits for a cold member whose allowance this VM may no longer use.
void MemberDispatcher::State::enforceColdPhase()
{
    if (!limits.hasColdPhase) {
        return;
    }
    updateColdPhase();
    if (!isWithoutAllowance()) {
        return;
    }
    const std::string reason = "the member is cold, and this VM may not use its allowance";
    if (!waiting.empty() || !stalled.empty()) {
        rejectQueued(reason);
    }
    const auto rejected = std::exchange(continuing, {});
    for (const JobPointer &job : rejected) {
        reportOutcome(job, notRun(ErrorCode::Aborted, reason));
    }
}

// Returns how long a new statement like this one will wait: for its turn and, if the member is
// cold, for a token.
Duration MemberDispatcher::State::expectedWaitOf(const Job &job) const
{
    const Duration wait = gentianplank::expectedWait(queue, job.statement.organisation, 1);
    return cold.isCold ? std::max(wait, gentianplank::expectedWait(allowance, cold.limit,
                                                                   waiting.size() + stalled.size() +
                                                                       continuing.size()))
                       : wait;
}

} // namespace gentianplank
