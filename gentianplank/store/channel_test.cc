#include "gentianplank/store/channel.h"

#include "gentianplank/proto/platform.grpc.pb.h"
#include "gentianplank/store/testing/test_authority.h"

#include <boost/test/unit_test.hpp>
#include <grpcpp/create_channel.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <thread>

namespace gentianplank {

namespace {

constexpr std::chrono::seconds ReloadInterval{1};
constexpr std::chrono::seconds ReloadLimit{20};

// A server that answers every call with UNIMPLEMENTED.
struct TestServer
{
    explicit TestServer(const TlsSettings &tls, bool mutual)
        : factory(tls, ReloadInterval)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", factory.serverCredentials(mutual), &port);
        builder.RegisterService(&service);
        server = builder.BuildAndStart();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    ChannelFactory factory;
    platform::v1::VmList::Service service;
    int port = 0;
    std::unique_ptr<grpc::Server> server;
};

bool connects(const std::shared_ptr<grpc::Channel> &channel)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(3));
    platform::v1::ListReply reply;
    return platform::v1::VmList::NewStub(channel)->List(&context, {}, &reply).error_code() ==
           grpc::StatusCode::UNIMPLEMENTED;
}

bool connects(const TlsSettings &tls, const std::string &address)
{
    return connects(ChannelFactory(tls, ReloadInterval).channelTo(address));
}

// Connects like a caller, which trusts an authority and has no certificate.
bool callerConnects(const TestAuthority &trusted, const std::string &address)
{
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = trusted.certificate();
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return connects(grpc::CreateCustomChannel(address, grpc::SslCredentials(options), arguments));
}

TlsSettings plainText()
{
    TlsSettings tls;
    tls.plainText = true;
    return tls;
}

} // namespace

BOOST_AUTO_TEST_CASE(mutualTlsPortAcceptsOnlyCertificatesOfTheAuthority)
{
    const TestAuthority authority;
    const TestAuthority other;
    const TestServer server(authority.issue("server"), true);
    BOOST_TEST(connects(authority.issue("client"), server.address()));
    BOOST_TEST(!callerConnects(authority, server.address()));
    BOOST_TEST(!connects(plainText(), server.address()));
    // The client trusts the server's authority, but its certificate is from another one.
    TlsSettings foreign = other.issue("client");
    foreign.authorityFile = authority.issue("unused").authorityFile;
    BOOST_TEST(!connects(foreign, server.address()));
}

BOOST_AUTO_TEST_CASE(serverTlsPortAcceptsCallersWithoutCertificate)
{
    const TestAuthority authority;
    const TestAuthority other;
    const TestServer server(authority.issue("server"), false);
    BOOST_TEST(callerConnects(authority, server.address()));
    BOOST_TEST(!callerConnects(other, server.address()));
    BOOST_TEST(!connects(plainText(), server.address()));
}

BOOST_AUTO_TEST_CASE(replacedCertificateFilesAreReloaded)
{
    const TestAuthority before;
    const TestAuthority after;
    const TlsSettings files = before.issue("server");
    const TestServer server(files, false);
    BOOST_TEST(callerConnects(before, server.address()));
    const TlsSettings renewed = after.issue("server");
    const auto overwrite = std::filesystem::copy_options::overwrite_existing;
    std::filesystem::copy_file(renewed.keyFile, files.keyFile, overwrite);
    std::filesystem::copy_file(renewed.certificateFile, files.certificateFile, overwrite);
    const auto limit = std::chrono::steady_clock::now() + ReloadLimit;
    bool isReloaded = false;
    while (!isReloaded && std::chrono::steady_clock::now() < limit) {
        isReloaded = callerConnects(after, server.address());
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    BOOST_TEST(isReloaded);
    BOOST_TEST(!callerConnects(before, server.address()));
}

BOOST_AUTO_TEST_CASE(plainTextSwitchAppliesToItsChannelKindOnly)
{
    TlsSettings tls;
    tls.targetsPlainText = true;
    BOOST_TEST(tlsForTargets(tls).plainText);
    BOOST_TEST(!tlsForPlatform(tls).plainText);
    BOOST_TEST(!tls.plainText);
}

} // namespace gentianplank
