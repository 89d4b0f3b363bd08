#include "gentianplank/node/traffic/member_dispatcher_state.h"

#include "gentianplank/http/endpoint.h"
#include "gentianplank/node/traffic/member_health_monitor.h"
#include "gentianplank/target/primary_testimony.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// A statement without an answer for this long counts as lost before its deadline. Longer than
// nearly all statements take, and than the check whether the member is alive.
constexpr Duration HangTime = std::chrono::milliseconds(400);
// After this time without any good answer, a member whose slots are all held hangs.
constexpr Duration StuckTime = std::chrono::milliseconds(800);
constexpr Duration PrimaryReportInterval = std::chrono::milliseconds(500);
// A member that owes an answer is probed after this silence: longer than nearly all statements
// take.
constexpr Duration LivenessCheckDelay = std::chrono::milliseconds(250);
// Several round trips within a region.
constexpr Duration LivenessCheckTimeout = std::chrono::milliseconds(250);

} // namespace

void MemberDispatcher::State::recordHealth(const Job &job, const StatementOutcome &outcome)
{
    if (job.isCountedAsLost) {
        return;
    }
    recordSign(job, signOf(job.statement, outcome), outcome.timeAtMember, steadyNow());
}

void MemberDispatcher::State::recordSign(const Job &job, OutcomeSign sign, Duration timeAtMember,
                                         Instant now)
{
    const ForwardedStatement &statement = job.statement;
    if (sign == OutcomeSign::Well) {
        lastWellAt = now;
        hasForgottenPast = false;
    }
    if (isPlainRead(statement)) {
        recordOutcome(reads, statement.organisation, sign, timeAtMember, now);
    }
    if (statement.epoch == 0 || statement.epoch < primaryEpoch) {
        return;
    }
    if (statement.epoch > primaryEpoch) {
        primaryEpoch = statement.epoch;
        primaryStatements = {};
    }
    recordOutcome(primaryStatements, statement.organisation, sign, timeAtMember, now);
    const bool isBad = sign == OutcomeSign::Failed || sign == OutcomeSign::Lost;
    if (isBad && environment.onPrimaryFailing && now - primaryReportedAt >= PrimaryReportInterval &&
        isWorthReporting(primaryStatements, now)) {
        primaryReportedAt = now;
        environment.onPrimaryFailing(entry, evidenceOf(primaryStatements, now));
    }
}

// Counts statements that hang. While every slot of the member is held by one, replica reads that
// wait here are sent to other members; once nothing was answered for a while, earlier answers no
// longer count.
void MemberDispatcher::State::observeHangs(Instant now)
{
    std::vector<JobPointer> hanging;
    for (const JobPointer &it : active) {
        if (it->lastRequestAt != Instant{} && now - it->lastRequestAt >= HangTime) {
            hanging.push_back(it);
        }
    }
    const bool isStuck = hanging.size() >= std::max(1U, entry.slots);
    const bool forgetsPast = isStuck && !hasForgottenPast && now - lastWellAt >= StuckTime;
    if (forgetsPast) {
        hasForgottenPast = true;
        reads = {};
        primaryStatements = {};
    }
    for (const JobPointer &it : hanging) {
        if (!it->isCountedAsLost || forgetsPast) {
            it->isCountedAsLost = true;
            recordSign(*it, OutcomeSign::Lost, Duration::zero(), now);
        }
    }
    if (isStuck) {
        rejectReplicaReads();
    }
}

void MemberDispatcher::State::rejectReplicaReads()
{
    std::vector<JobPointer> rejected;
    std::erase_if(waiting, [&](const auto &it) {
        const ForwardedStatement &statement = it.second->statement;
        const bool mayServeElsewhere = isPlainRead(statement) && statement.epoch == 0;
        if (mayServeElsewhere) {
            rejected.push_back(it.second);
        }
        return mayServeElsewhere;
    });
    for (const JobPointer &it : rejected) {
        remove(queue, it->statement.organisation, it->number);
        reportOutcome(it, notRun(ErrorCode::Busy, "the member does not answer its statements"));
    }
}

// Probes a silent member with a TCP connection. One that accepts it is slow but alive; otherwise
// the member is treated as unreachable.
void MemberDispatcher::State::checkLiveness(Instant now)
{
    const bool isOverdue = std::any_of(active.begin(), active.end(), [&](const JobPointer &it) {
        return it->lastRequestAt != Instant{} &&
               now - std::max(it->lastRequestAt, lastReplyAt) > LivenessCheckDelay;
    });
    if (!isOverdue || isCheckingLiveness) {
        return;
    }
    const auto endpoint = parseEndpoint(entry.address);
    if (!endpoint) {
        return;
    }
    isCheckingLiveness = true;
    auto socket = std::make_shared<asio::ip::tcp::socket>(ioContext);
    auto timer = std::make_shared<asio::steady_timer>(ioContext, LivenessCheckTimeout);
    timer->async_wait([socket](boost::system::error_code ec) {
        if (!ec) {
            resetSocket(*socket);
        }
    });
    socket->async_connect(*endpoint, [weak = self, socket, timer](boost::system::error_code ec) {
        timer->cancel();
        resetSocket(*socket);
        auto owner = weak.lock();
        if (!owner) {
            return;
        }
        State &state = *owner->m_state;
        state.isCheckingLiveness = false;
        if (!ec) {
            state.lastReplyAt = steadyNow();
            return;
        }
        const std::string reason =
            "liveness probe failed: no TCP connection to " + state.entry.address;
        const auto open = state.links;
        for (const auto &link : open) {
            link->close();
        }
        state.markUnreachable(reason);
    });
}

} // namespace gentianplank
