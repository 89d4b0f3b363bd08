#include "gentianplank/daemon/control/rate_messages.h"

namespace gentianplank {

void toWire(const std::string &organisation, const SliceRequest &request, vm::v1::RateDemand *out)
{
    out->set_organisation(organisation);
    out->set_wanted_per_second(request.demandPerSecond);
    out->set_held_per_second(request.heldPerSecond);
    out->set_held_burst(request.heldBurst);
    out->set_sequence(request.sequence);
    out->set_applied_sequence(request.appliedSequence);
    out->set_held_tokens(request.heldTokens);
    out->set_returned_tokens(request.returnedTokens);
    out->set_wanted_tokens(request.requestedTokens);
    out->set_release(request.release);
}

SliceRequest fromWire(const vm::v1::Incarnation &client, const vm::v1::RateDemand &demand)
{
    SliceRequest request;
    request.client = {client.vm(), client.number()};
    request.sequence = demand.sequence();
    request.appliedSequence = demand.applied_sequence();
    request.heldPerSecond = demand.held_per_second();
    request.heldBurst = demand.held_burst();
    request.heldTokens = demand.held_tokens();
    request.returnedTokens = demand.returned_tokens();
    request.demandPerSecond = demand.wanted_per_second();
    request.requestedTokens = demand.wanted_tokens();
    request.release = demand.release();
    return request;
}

void toWire(const std::string &organisation, const SliceReply &reply, vm::v1::RateSlice *out)
{
    out->set_organisation(organisation);
    out->set_rate_per_second(reply.perSecond);
    out->set_burst(reply.burst);
    out->set_lasts_ms(static_cast<uint32_t>(toMilliseconds(SliceDuration)));
    out->set_sequence(reply.sequence);
    out->set_verdict(static_cast<vm::v1::SliceVerdict>(reply.verdict));
    out->set_tokens(reply.tokens);
    out->set_delegated(reply.delegated);
    out->set_exhausted(reply.exhausted);
}

SliceReply fromWire(const vm::v1::RateSlice &slice)
{
    SliceReply reply;
    reply.sequence = slice.sequence();
    switch (slice.verdict()) {
    case vm::v1::SLICE_VERDICT_RENEWED:
        reply.verdict = SliceVerdict::Renewed;
        break;
    case vm::v1::SLICE_VERDICT_LENT:
        reply.verdict = SliceVerdict::Allocated;
        break;
    default:
        reply.verdict = SliceVerdict::NotOwner;
        break;
    }
    reply.perSecond = slice.rate_per_second();
    reply.burst = slice.burst();
    reply.tokens = slice.tokens();
    reply.delegated = slice.delegated();
    reply.exhausted = slice.exhausted();
    return reply;
}

void toWire(const SliceRecord &record, vm::v1::RateRecord *out)
{
    out->mutable_borrower()->set_vm(record.client.vm);
    out->mutable_borrower()->set_number(record.client.incarnation);
    out->set_sequence(record.sequence);
    out->set_rate_per_second(record.perSecond);
    out->set_burst(record.burst);
    out->set_wanted_per_second(record.demandPerSecond);
    out->set_remaining_us(static_cast<uint64_t>(record.remaining.count()));
}

SliceRecord fromWire(const vm::v1::RateRecord &record)
{
    return {{record.borrower().vm(), record.borrower().number()},
            record.sequence(),
            record.rate_per_second(),
            record.burst(),
            record.wanted_per_second(),
            Duration(static_cast<Duration::rep>(record.remaining_us()))};
}

void toWire(const AllocatorHandover &handover, vm::v1::RateHandover *out)
{
    out->set_organisation(handover.organisation);
    out->set_members_revision(handover.listRevision);
    out->set_tokens(handover.tokens);
    for (const SliceRecord &it : handover.slices) {
        toWire(it, out->add_records());
    }
}

AllocatorHandover fromWire(const vm::v1::RateHandover &handover)
{
    AllocatorHandover result;
    result.organisation = handover.organisation();
    result.listRevision = handover.members_revision();
    result.tokens = handover.tokens();
    for (const vm::v1::RateRecord &it : handover.records()) {
        result.slices.push_back(fromWire(it));
    }
    return result;
}

} // namespace gentianplank
