#include "gentianplank/node/traffic/traffic_state.h"

#include "gentianplank/target/primary_testimony.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// Maximum age of the newest position of a primary before another one is requested. It reduces the
// usable staleness of reads, which accept a second or more, by as much.
constexpr Duration SampleInterval = std::chrono::milliseconds(300);

// Copies of a peer's statement here: the dispatcher's and the line for the member.
constexpr size_t CopiesOfPeerStatement = 3;
// Retry delay for a large statement while the memory is used up. Large accounts are shed after
// 200 ms.
constexpr Duration PeerMemoryRetryAfter = std::chrono::seconds(1);

} // namespace

// Returns the charge of a statement until its answer, or null if it is large and there is no memory
// for it. Small ones are not charged: their number is bounded by the dispatchers' queues.
std::shared_ptr<MemoryAccount>
Traffic::State::chargePeerStatement(const peer::v1::Execute &statement) const
{
    const size_t bytes = CopiesOfPeerStatement * statement.ByteSizeLong();
    const bool isLarge = bytes > CopiesOfPeerStatement * OrdinaryBytes;
    if (isLarge && !memory->admits(bytes)) {
        return nullptr;
    }
    auto charge =
        std::make_shared<MemoryAccount>(isLarge ? memory : nullptr, 0, MemoryAccountHandler{});
    charge->set(MemoryHolder::Statements, bytes);
    return charge;
}

void Traffic::State::handlePeerRequest(const std::shared_ptr<PeerLink> &link,
                                       const peer::v1::Frame &frame)
{
    if (frame.has_execute()) {
        ForwardedStatement statement = fromWire(frame.execute());
        statement.session.origin = mesh->originOf(link);
        const auto charge = chargePeerStatement(frame.execute());
        const auto done = [link, charge,
                           call = frame.execute().call()](const StatementOutcome &outcome) {
            peer::v1::Frame reply;
            reply.mutable_answer()->set_call(call);
            toWire(outcome, reply.mutable_answer());
            link->send(reply);
        };
        if (!charge) {
            done(notRun(ErrorCode::Busy,
                        "the dispatching VM has no memory for a statement of this "
                        "size",
                        PeerMemoryRetryAfter));
            return;
        }
        executeLocally(statement, done);
    } else if (frame.has_ping()) {
        link->send(pong(frame.ping()));
    } else if (frame.has_end_transaction()) {
        const auto it = dispatchers.find(frame.end_transaction().member());
        if (it != dispatchers.end()) {
            it->second->endTransaction({mesh->originOf(link), frame.end_transaction().session()});
        }
    } else if (frame.has_rate_ask()) {
        rates->handleAsk(link->peerName(), frame.rate_ask(),
                         [link](const peer::v1::RateGrant &grant) {
                             peer::v1::Frame reply;
                             *reply.mutable_rate_grant() = grant;
                             link->send(reply);
                             return link->isOpen();
                         });
    } else if (frame.has_rate_grant()) {
        rates->handleReturn(frame.rate_grant());
    } else if (frame.has_sample_ask()) {
        answerSample(link, frame.sample_ask());
    } else {
        handler.onControlRequest(
            frame, [this, link, probe = frame.probe()](const peer::v1::Frame &reply) {
                asio::post(ioContext,
                           [this, link, probe, reply] { link->send(withEvidence(probe, reply)); });
            });
    }
}

// Adds to a reply what this VM's statements saw of the member, if the probe asks for it.
peer::v1::Frame Traffic::State::withEvidence(const peer::v1::Probe &probe,
                                             peer::v1::Frame reply) const
{
    if (!probe.asks_evidence() || !reply.has_probe_answer()) {
        return reply;
    }
    const auto members = router->evidenceOf(probe.group());
    const auto count = [](double value) { return static_cast<uint32_t>(std::lround(value)); };
    const auto primary = members.find(probe.member());
    peer::v1::ProbeAnswer *answer = reply.mutable_probe_answer();
    if (primary != members.end()) {
        answer->set_statements(count(primary->second.statements));
        answer->set_failures(count(primary->second.failures));
    }
    const Evidence other = bestOther(members, probe.member());
    answer->set_other_statements(count(other.statements));
    answer->set_other_failures(count(other.failures));
    return reply;
}

void Traffic::State::handlePeerReply(const std::string &vm, const peer::v1::Frame &frame)
{
    if (frame.has_rate_grant()) {
        rates->handleGrant(vm, frame.rate_grant());
        return;
    }
    if (frame.has_sample_answer()) {
        recordSample(frame.sample_answer());
        return;
    }
    handler.onControlReply(vm, frame);
}

peer::v1::Frame Traffic::State::pong(const peer::v1::Ping &ping) const
{
    peer::v1::Frame frame;
    peer::v1::Pong *pong = frame.mutable_pong();
    pong->set_number(ping.number());
    pong->set_leaving(isHandedOver);
    const BootInstant now = bootNow();
    for (const auto &[group, record] : view->groups) {
        if (ping.needs_proof() && mayUsePrimary(group, record.epoch)) {
            auto *it = pong->add_proofs();
            it->set_group(group);
            it->set_epoch(record.epoch);
            it->set_age_ms(
                static_cast<uint32_t>(toMilliseconds(now - primaryLeaseOf(record).provenAt)) + 1);
        }
    }
    return frame;
}

void Traffic::State::handlePong(const peer::v1::Pong &pong, BootInstant sentAt)
{
    for (const auto &it : pong.proofs()) {
        auto &known = peerProofs[it.group()];
        const BootInstant provenAt = sentAt - std::chrono::milliseconds(it.age_ms());
        if (it.epoch() > known.first) {
            known = {it.epoch(), provenAt};
        } else if (it.epoch() == known.first) {
            known.second = std::max(known.second, provenAt);
        }
    }
}

// Requests positions from the primaries' dispatchers while reads need them.
void Traffic::State::requestSamples(Instant now)
{
    for (const auto &[id, dispatcher] : dispatchers) {
        const auto member = view->members.find(id);
        if (member == view->members.end() || !dispatcher->needsPrimaryPositions()) {
            continue;
        }
        const std::string &group = member->second.entry.group;
        SampleRequest &request = sampleRequests[group];
        const auto newest = newestSample(histories[group]);
        const bool isFresh = newest && bootNow() - newest->sentAt < SampleInterval;
        if (isFresh || now - request.requestedAt < SampleInterval) {
            continue;
        }
        const auto record = usablePrimary(group);
        const auto primary = record ? view->members.find(record->primary) : view->members.end();
        if (primary == view->members.end()) {
            continue;
        }
        const auto ranked = dispatchTable.dispatchersOf(record->primary);
        const auto vm = std::find_if(ranked.begin(), ranked.end(), [&](const VmRecord *it) {
            return it->name == settings.name || mesh->isReachable(it->name);
        });
        if (vm == ranked.end() || (*vm)->name == settings.name) {
            continue;
        }
        request = {now, bootNow(), nextSampleRequest++};
        peer::v1::Frame frame;
        frame.mutable_sample_ask()->set_group(group);
        frame.mutable_sample_ask()->set_number(request.number);
        mesh->send((*vm)->name, frame);
    }
}

void Traffic::State::answerSample(const std::shared_ptr<PeerLink> &link,
                                  const peer::v1::SampleAsk &ask) const
{
    const auto history = histories.find(ask.group());
    const auto sample = history == histories.end() ? std::nullopt : newestSample(history->second);
    if (!sample || !mayUsePrimary(ask.group(), history->second.epoch)) {
        return;
    }
    peer::v1::Frame frame;
    frame.mutable_sample_answer()->set_number(ask.number());
    auto *it = frame.mutable_sample_answer()->mutable_sample();
    it->set_group(ask.group());
    it->set_epoch(history->second.epoch);
    toWire(sample->position, it->mutable_position());
    it->set_age_ms(static_cast<uint32_t>(toMilliseconds(bootNow() - sample->sentAt)) + 1);
    link->send(frame);
}

void Traffic::State::recordSample(const peer::v1::SampleAnswer &answer)
{
    const auto &sample = answer.sample();
    const auto request = sampleRequests.find(sample.group());
    if (request == sampleRequests.end() || request->second.number != answer.number() ||
        !mayUsePrimary(sample.group(), sample.epoch())) {
        return;
    }
    // The sample is dated from the sending of the request, which is before the answer was made.
    addSample(histories[sample.group()], sample.epoch(),
              {fromWire(sample.position()),
               request->second.requestedAtBoot - std::chrono::milliseconds(sample.age_ms())});
}

} // namespace gentianplank
