// gentianplank-load: measures the overhead of the proxy, as reads through a VM compared with the
// same reads sent directly to a member.

#include "gentianplank/load/client_crowd.h"
#include "gentianplank/load/load_run.h"
#include "gentianplank/proto/caller.grpc.pb.h"
#include "gentianplank/proto/target.grpc.pb.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <grpcpp/create_channel.h>

#include <cstdlib>
#include <iomanip>
#include <iostream>

ABSL_FLAG(std::string, vm, "127.0.0.1:7000", "The VM to call, as IP:port.");
ABSL_FLAG(std::string, member, "", "The member to call directly, as IP:port.");
ABSL_FLAG(std::string, route, "tickets", "The route to use through the VM.");
ABSL_FLAG(size_t, threads, 4, "Number of threads, each with its own session and connection.");
ABSL_FLAG(int, seconds, 2, "Measured time of each run, in seconds.");
ABSL_FLAG(
    std::string, clients, "",
    "Runs clients that misuse the line protocol instead of measuring. One of half-message, "
    "pipelined-large, unread-answers, endless-line, trickle, connect-and-leave, half-closed.");
ABSL_FLAG(size_t, connections, 50, "Connections of --clients; at most 300.");
ABSL_FLAG(std::string, database, "main", "The database of --clients.");
ABSL_FLAG(bool, allow_remote, false,
          "Lets --clients run against an address that is not on this machine's loopback network.");

namespace gentianplank {

namespace {

constexpr unsigned MedianPermille = 500;
constexpr unsigned P99Permille = 990;

common::v1::Statement readStatement()
{
    common::v1::Statement statement;
    statement.set_name("ledger.get");
    statement.add_parameters("load");
    statement.set_read_only(true);
    return statement;
}

// Returns a channel with its own connection. By default, gRPC channels to the same address share
// one.
std::shared_ptr<grpc::Channel> makeUnsharedChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

// Reads over one database connection to the member, of the kind that VMs keep.
struct DirectCaller
{
    explicit DirectCaller(const std::string &address)
        : stub(target::v1::Member::NewStub(makeUnsharedChannel(address)))
        , stream(stub->Connect(&context))
    {
        *request.mutable_execute()->mutable_statement() = readStatement();
    }

    ~DirectCaller()
    {
        stream->WritesDone();
        context.TryCancel();
        stream->Finish();
    }

    bool call()
    {
        request.set_attempt(request.attempt() + 1);
        target::v1::MemberReply reply;
        return stream->Write(request) && stream->Read(&reply) && reply.has_done();
    }

    grpc::ClientContext context;
    std::unique_ptr<target::v1::Member::Stub> stub;
    std::unique_ptr<grpc::ClientReaderWriter<target::v1::MemberRequest, target::v1::MemberReply>>
        stream;
    target::v1::MemberRequest request;
};

// Reads in one caller's session at the VM.
struct ProxyCaller
{
    ProxyCaller(const std::string &address, std::string authorization, const std::string &route)
        : stub(caller::v1::Caller::NewStub(makeUnsharedChannel(address)))
        , bearer(std::move(authorization))
    {
        request.set_route(route);
        *request.mutable_statement() = readStatement();
    }

    bool call()
    {
        grpc::ClientContext context;
        context.AddMetadata("authorization", bearer);
        context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(5));
        caller::v1::ExecuteReply reply;
        const bool isServed = stub->Execute(&context, request, &reply).ok();
        if (isServed) {
            request.set_session_token(reply.session_token());
        }
        return isServed;
    }

    std::unique_ptr<caller::v1::Caller::Stub> stub;
    std::string bearer;
    caller::v1::ExecuteRequest request;
};

void printAddedLatency(unsigned permille, const char *name, const LoadResult &direct,
                       const LoadResult &proxied)
{
    const double directUs = static_cast<double>(percentile(direct, permille).count());
    const double proxiedUs = static_cast<double>(percentile(proxied, permille).count());
    std::cout << "added " << name << ": " << proxiedUs - directUs << " us, ratio "
              << (directUs > 0 ? proxiedUs / directUs : 0) << '\n';
}

// Runs the clients of --clients against --vm.
int runClients(const char *key)
{
    const auto kind = parseClientKind(absl::GetFlag(FLAGS_clients));
    const std::string address = absl::GetFlag(FLAGS_vm);
    if (!kind) {
        std::cerr << "--clients: unknown kind '" << absl::GetFlag(FLAGS_clients)
                  << "'; see --help\n";
        return 2;
    }
    if (!isLoopback(address) && !absl::GetFlag(FLAGS_allow_remote)) {
        std::cerr << "--vm " << address
                  << " is not a loopback address; pass --allow_remote for a system of your own\n";
        return 2;
    }
    const CrowdResult result =
        runCrowd(*kind, {address, "", absl::GetFlag(FLAGS_database), key == nullptr ? "" : key,
                         absl::GetFlag(FLAGS_connections),
                         std::chrono::seconds(absl::GetFlag(FLAGS_seconds))});
    std::cout << render(result) << '\n';
    return result.connected > 0 ? 0 : 1;
}

int run()
{
    const char *const key = std::getenv("GENTIANPLANK_KEY");
    if (!absl::GetFlag(FLAGS_clients).empty()) {
        return runClients(key);
    }
    if (key == nullptr || absl::GetFlag(FLAGS_member).empty()) {
        std::cerr << "GENTIANPLANK_KEY (the caller's key) and --member are required\n";
        return 2;
    }
    const LoadOptions options{absl::GetFlag(FLAGS_threads),
                              std::chrono::seconds(absl::GetFlag(FLAGS_seconds))};
    const LoadResult direct = runLoad(options, [](size_t) -> LoadCall {
        auto caller = std::make_shared<DirectCaller>(absl::GetFlag(FLAGS_member));
        return [caller] { return caller->call(); };
    });
    const LoadResult proxied = runLoad(options, [&](size_t) -> LoadCall {
        auto caller = std::make_shared<ProxyCaller>(
            absl::GetFlag(FLAGS_vm), "Bearer " + std::string(key), absl::GetFlag(FLAGS_route));
        return [caller] { return caller->call(); };
    });
    std::cout << std::setprecision(3) << options.threads
              << " threads, reads\ndirect:  " << render(direct) << "\nproxied: " << render(proxied)
              << '\n';
    printAddedLatency(MedianPermille, "median", direct, proxied);
    printAddedLatency(P99Permille, "p99", direct, proxied);
    return proxied.served > 0 && direct.served > 0 ? 0 : 1;
}

} // namespace

} // namespace gentianplank

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Compares reads through a VM with the same reads sent directly to a member, in two runs.\n"
        "Reads the caller's key from the environment variable GENTIANPLANK_KEY. Uses plain text.\n"
        "Example:\n"
        "  GENTIANPLANK_KEY=captain gentianplank-load --vm=127.0.0.1:7000 \\\n"
        "      --member=127.0.0.1:7201 --threads=4\n"
        "With --clients, runs clients that misuse the line protocol, to see how a VM bears them:\n"
        "  GENTIANPLANK_KEY=captain gentianplank-load --clients=half-message --vm=127.0.0.1:7000 "
        "\\\n"
        "      --database=main --connections=50 --seconds=5\n"
        "Exit codes: 0 measured, 1 a run had no served read or connection, 2 usage error.");
    absl::ParseCommandLine(argc, argv);
    return gentianplank::run();
}
