#include "gentianplank/daemon/testing/fleet_fixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <grpcpp/create_channel.h>
#include <grpcpp/impl/codegen/client_unary_call.h>
#include <grpcpp/support/byte_buffer.h>

#include <thread>

namespace gentianplank {

namespace {

std::string scrape(const std::string &address)
{
    namespace asio = boost::asio;
    const size_t colon = address.find(':');
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(address.substr(0, colon)),
                    static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))});
    asio::write(socket, asio::buffer(std::string("GET /metrics HTTP/1.0\r\n\r\n")));
    std::string text;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(text), ec);
    return text;
}

// Queries gRPC's health service, whose reply is one enum field: 1 for serving, 2 for not serving.
bool isHealthy(const std::string &address, const std::string &service)
{
    const auto channel = grpc::CreateChannel(address, grpc::InsecureChannelCredentials());
    std::string request = "\x0a";
    request += static_cast<char>(service.size());
    request += service;
    const grpc::Slice slice(request);
    const grpc::ByteBuffer message(&slice, 1);
    grpc::ByteBuffer reply;
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(2));
    const grpc::internal::RpcMethod method("/grpc.health.v1.Health/Check",
                                           grpc::internal::RpcMethod::NORMAL_RPC, channel);
    const grpc::Status status =
        grpc::internal::BlockingUnaryCall<grpc::ByteBuffer, grpc::ByteBuffer>(
            channel.get(), method, &context, message, &reply);
    grpc::Slice answer;
    return status.ok() && reply.DumpToSingleSlice(&answer).ok() && answer.size() == 2 &&
           answer.begin()[1] == 1;
}

} // namespace

BOOST_AUTO_TEST_CASE(scrapeReportsStatementsAndRefusals)
{
    FleetOptions options;
    options.metrics = true;
    FleetFixture fleet(options);
    BOOST_TEST(fleet.caller(0).execute(putStatement("k", "v"), "r1").has_value());
    BOOST_TEST(fleet.caller(0).execute(putStatement("k", "v"), "r1").has_value());
    BOOST_TEST(fleet.caller(0).execute(getStatement("k"), "").has_value());
    BOOST_TEST(!fleet.caller(0, "no-such-key").execute(getStatement("k"), "").has_value());
    const std::string text = scrape(fleet.settings(0).listen.metrics);
    for (const char *line :
         {R"(gentianplank_statements_total{fate="ran",kind="write",reason=""} 2)",
          R"(gentianplank_statements_total{fate="ran",kind="read",reason=""} 1)",
          R"(gentianplank_entry_refusals_total{reason="key_refused"} 1)",
          "gentianplank_replayed_answers_total 1", "gentianplank_ready 1",
          "gentianplank_standing 1", R"(gentianplank_group_has_primary{group="ledger-1"} 1)",
          R"(gentianplank_group_term{group="ledger-1"} 1)",
          R"(gentianplank_vms{state="reachable"} 3)", "gentianplank_reads_served_total{role=",
          R"(gentianplank_store_requests_total{operation="transact",outcome="ok"})"}) {
        BOOST_TEST(text.find(line) != std::string::npos, line << " is missing in the scrape");
    }
}

BOOST_AUTO_TEST_CASE(healthServiceReportsNotServingDuringShutdown)
{
    FleetFixture fleet;
    const std::string address = fleet.settings(0).listen.callers;
    const auto isReady = [&] { return isHealthy(address, "gentianplank.caller.v1.Caller"); };
    BOOST_TEST(FleetFixture::waitUntil(isReady));
    for (int i = 0; i < 150; ++i) {
        const std::string key = "row-" + std::to_string(i);
        BOOST_REQUIRE(fleet.caller(0).execute(putStatement(key, "v"), key).has_value());
    }
    // A pull in progress delays the shutdown, so that the health service can be queried meanwhile.
    std::thread stopper;
    bool wasNotReady = false;
    const auto rows = fleet.caller(0).pull(scanStatement("row-"), [&] {
        if (!stopper.joinable()) {
            stopper = std::thread([&] { fleet.daemon(0).shutDown(); });
            wasNotReady = FleetFixture::waitUntil([&] { return !isReady(); });
        }
    });
    stopper.join();
    BOOST_TEST(wasNotReady);
    BOOST_TEST(rows.has_value());
}

} // namespace gentianplank
