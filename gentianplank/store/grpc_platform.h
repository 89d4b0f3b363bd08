// Clients of the platform's services over gRPC.
//
//     GrpcPlatform platform(channels.channelTo(settings.platform.address));
//     TableStore &store = platform.tables();
#pragma once

#include "gentianplank/store/object_store.h"
#include "gentianplank/store/table_store.h"
#include "gentianplank/store/vm_list.h"

#include <grpcpp/channel.h>

#include <memory>

namespace gentianplank {

// Owns the three clients. Thread-safe.
class GrpcPlatform
{
public:
    explicit GrpcPlatform(const std::shared_ptr<grpc::Channel> &channel);
    ~GrpcPlatform();

    TableStore &tables();
    ObjectStore &objects();
    VmList &vms();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
