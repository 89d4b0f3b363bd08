#include "gentianplank/daemon/testing/fleet_fixture.h"

#include <boost/test/unit_test.hpp>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>

namespace gentianplank {

// A caller that lost its session token must not read stale data from a lagging replica.
BOOST_AUTO_TEST_CASE(readWithLostTokenSeesAcknowledgedWrites)
{
    FleetFixture fleet;
    standin::v1::MemberFault fault;
    fault.set_group(TestGroup);
    fault.set_member("c");
    fault.set_replication_lag_ms(400);
    fleet.group().setFault(fault);
    // The VM in the region of the lagging replica, which would read from it.
    const auto stub = caller::v1::Caller::NewStub(
        grpc::CreateChannel(fleet.settings(2).listen.callers, grpc::InsecureChannelCredentials()));
    for (int i = 0; i < 5; ++i) {
        const std::string value = std::to_string(i);
        BOOST_REQUIRE(fleet.caller(0).execute(putStatement("k", value), "r" + value).has_value());
        grpc::ClientContext context;
        context.AddMetadata("authorization", "Bearer " + TestKey);
        context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(10));
        caller::v1::ExecuteRequest request;
        request.set_route(TestRoute);
        *request.mutable_statement() = getStatement("k");
        request.set_token_lost(true);
        caller::v1::ExecuteReply reply;
        BOOST_REQUIRE(stub->Execute(&context, request, &reply).ok());
        BOOST_REQUIRE(reply.rows_size() == 1);
        BOOST_TEST(reply.rows(0).values(1) == value);
    }
}

} // namespace gentianplank
