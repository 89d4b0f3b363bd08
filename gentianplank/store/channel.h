// gRPC channels and server credentials, in plain text or TLS as the settings say.
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

// How often certificate files are looked at for a change.
constexpr std::chrono::seconds CertificateReloadInterval{10};

// The settings for channels to targets and to the platform, which may be plain text on their own.
TlsSettings tlsForTargets(TlsSettings tls);
TlsSettings tlsForPlatform(TlsSettings tls);

// Makes and keeps one channel for each address. Both ends of TLS check that the other's
// certificate comes from the authority; a client also that it is for the IP number called.
// New connections use new files; open ones stay. Thread-safe.
class ChannelFactory
{
public:
    // The reload interval is in whole seconds, 1 or more.
    explicit ChannelFactory(TlsSettings tls,
                            std::chrono::seconds reloadInterval = CertificateReloadInterval);
    ~ChannelFactory();

    // Returns the channel to "IP:port"; made at the first call.
    std::shared_ptr<grpc::Channel> channelTo(const std::string &address);

    // Returns credentials for a server port. `mutual` requires a certificate of the client too.
    std::shared_ptr<grpc::ServerCredentials> serverCredentials(bool mutual) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
