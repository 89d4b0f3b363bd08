// Converts the messages of rate sharing to and from protobuf.
//
//     vm::v1::LendRequest request;
//     toWire(due.organisation, due.request, request.add_demands());
#pragma once

#include "gentianplank/organisation/rate_owner.h"
#include "gentianplank/proto/vm.pb.h"

namespace gentianplank {

// toWire() fills `out`, a new message. fromWire() doesn't validate its input.

void toWire(const std::string &organisation, const SliceRequest &request, vm::v1::RateDemand *out);
SliceRequest fromWire(const vm::v1::Incarnation &client, const vm::v1::RateDemand &demand);

void toWire(const std::string &organisation, const SliceReply &reply, vm::v1::RateSlice *out);
SliceReply fromWire(const vm::v1::RateSlice &slice);

void toWire(const SliceRecord &record, vm::v1::RateRecord *out);
SliceRecord fromWire(const vm::v1::RateRecord &record);

void toWire(const AllocatorHandover &handover, vm::v1::RateHandover *out);
AllocatorHandover fromWire(const vm::v1::RateHandover &handover);

} // namespace gentianplank
