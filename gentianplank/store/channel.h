// gRPC channels and server credentials, in plain text or TLS according to the settings.
//
//     ChannelFactory channels(settings.tls);
//     auto stub = vm::v1::Peer::NewStub(channels.channelTo("127.0.0.1:7001"));
#pragma once

#include "gentianplank/settings/settings.h"

#include <grpcpp/channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

#include <memory>
#include <string>

namespace gentianplank {

// Interval at which certificate files are checked for changes.
constexpr std::chrono::seconds CertificateReloadInterval{10};

// Return the settings for channels to targets and to the platform, which can be switched to plain
// text separately.
TlsSettings tlsForTargets(TlsSettings tls);
TlsSettings tlsForPlatform(TlsSettings tls);

// Creates and caches one channel per address. With TLS, clients check that the server's certificate
// is issued by the configured authority for the IP address that they call, and servers with mutual
// TLS check that the client's certificate is issued by the authority. Changed certificate files
// apply to new connections; open connections are kept. Thread-safe.
class ChannelFactory
{
public:
    // `reloadInterval` must be at least 1 s.
    explicit ChannelFactory(TlsSettings tls,
                            std::chrono::seconds reloadInterval = CertificateReloadInterval);
    ~ChannelFactory();

    // Returns the channel to `address`, an "IP:port". The channel is created at the first call.
    std::shared_ptr<grpc::Channel> channelTo(const std::string &address);

    // Returns credentials for a server port. If `mutual`, clients must present a certificate.
    std::shared_ptr<grpc::ServerCredentials> serverCredentials(bool mutual) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
