// open_connections: opens idle caller connections to a VM and holds them until it receives SIGTERM
// or SIGINT. tools/measure_connections runs it to measure the memory that a connection takes.

#include "gentianplank/proto/caller.grpc.pb.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <grpcpp/create_channel.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

ABSL_FLAG(std::string, vm, "127.0.0.1:7000", "The VM to connect to, as IP:port.");
ABSL_FLAG(int, connections, 100, "The number of connections to open.");

namespace {

constexpr std::chrono::seconds ConnectTimeout{20};

// Opens a channel with a connection of its own. By default, channels to one address share one.
std::shared_ptr<grpc::Channel> openChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    auto channel =
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
    channel->GetState(true);
    return channel;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Opens idle connections to a VM and holds them until SIGTERM.");
    absl::ParseCommandLine(argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::vector<std::shared_ptr<grpc::Channel>> channels;
    for (int i = 0; i < absl::GetFlag(FLAGS_connections); ++i) {
        channels.push_back(openChannel(absl::GetFlag(FLAGS_vm)));
    }
    int connected = 0;
    for (const auto &it : channels) {
        connected += it->WaitForConnected(std::chrono::system_clock::now() + ConnectTimeout);
    }
    std::cout << connected << " connections are open" << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
