#include "gentianplank/store/channel.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_credentials_options.h>

#include <map>
#include <mutex>

namespace gentianplank {

namespace {

constexpr int KeepaliveMs = 10000;
constexpr int MaxReconnectBackoffMs = 500;
constexpr int InitialReconnectBackoffMs = 50;

} // namespace

struct ChannelFactory::State
{
    TlsSettings tls;
    // Reloads the certificate files as long as it exists. Null with plain text.
    std::shared_ptr<grpc::experimental::CertificateProviderInterface> certificates;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<grpc::Channel>> channels;

    std::shared_ptr<grpc::ChannelCredentials> clientCredentials() const
    {
        if (certificates == nullptr) {
            return grpc::InsecureChannelCredentials();
        }
        grpc::experimental::TlsChannelCredentialsOptions options;
        options.set_certificate_provider(certificates);
        options.watch_root_certs();
        options.watch_identity_key_cert_pairs();
        options.set_verify_server_certs(true);
        options.set_check_call_host(true);
        return grpc::experimental::TlsCredentials(options);
    }
};

TlsSettings tlsForTargets(TlsSettings tls)
{
    tls.plainText = tls.plainText || tls.targetsPlainText;
    return tls;
}

TlsSettings tlsForPlatform(TlsSettings tls)
{
    tls.plainText = tls.plainText || tls.platformPlainText;
    return tls;
}

ChannelFactory::ChannelFactory(TlsSettings tls, std::chrono::seconds reloadInterval)
    : m_state(std::make_unique<State>())
{
    m_state->tls = std::move(tls);
    if (!m_state->tls.plainText) {
        m_state->certificates =
            std::make_shared<grpc::experimental::FileWatcherCertificateProvider>(
                m_state->tls.keyFile, m_state->tls.certificateFile, m_state->tls.authorityFile,
                static_cast<unsigned int>(reloadInterval.count()));
    }
}

ChannelFactory::~ChannelFactory() = default;

std::shared_ptr<grpc::Channel> ChannelFactory::channelTo(const std::string &address)
{
    const std::lock_guard lock(m_state->mutex);
    std::shared_ptr<grpc::Channel> &channel = m_state->channels[address];
    if (channel == nullptr) {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveMs);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, InitialReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, InitialReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        channel = grpc::CreateCustomChannel(address, m_state->clientCredentials(), arguments);
    }
    return channel;
}

std::shared_ptr<grpc::ServerCredentials> ChannelFactory::serverCredentials(bool mutual) const
{
    if (m_state->certificates == nullptr) {
        return grpc::InsecureServerCredentials();
    }
    grpc::experimental::TlsServerCredentialsOptions options(m_state->certificates);
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_cert_request_type(mutual
                                      ? GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY
                                      : GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE);
    return grpc::experimental::TlsServerCredentials(options);
}

} // namespace gentianplank
