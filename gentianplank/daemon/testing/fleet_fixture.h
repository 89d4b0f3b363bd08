// A small fleet for tests: the stand-in for platform and targets and several daemons, in one
// process on the loopback interface.
//
//     FleetFixture fleet;
//     auto reply = fleet.caller(0).execute(putStatement("k", "v"), "request-1");
#pragma once

#include "gentianplank/base/refusal.h"
#include "gentianplank/daemon/daemon.h"
#include "gentianplank/proto/admin.grpc.pb.h"
#include "gentianplank/proto/caller.grpc.pb.h"
#include "gentianplank/proto/standin.pb.h"
#include "gentianplank/standin/member_service.h"
#include "gentianplank/standin/platform_service.h"
#include "gentianplank/statement/statement.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gentianplank {

inline const std::string TestKey = "captain-key-1";
inline const std::string TestOperatorKey = "operator-key";
inline const std::string TestRoute = "tickets";
inline const std::string TestGroup = "ledger-1";
inline const std::string TestOrganisation = "dredge-co";

common::v1::Statement putStatement(const std::string &key, const std::string &value);
common::v1::Statement addStatement(const std::string &key, int amount);
common::v1::Statement getStatement(const std::string &key);
common::v1::Statement scanStatement(const std::string &prefix);

// A caller with a session at one VM. Sends the session token of each reply with the next request.
class TestCaller
{
public:
    // Connects by TLS if a file with an authority's certificate is given, else in plain text.
    TestCaller(const std::string &address, std::string key, std::string authorityFile = {});

    tl::expected<caller::v1::ExecuteReply, Refusal>
    execute(const common::v1::Statement &statement, const std::string &requestId,
            Duration timeout = std::chrono::seconds(10));

    // Pulls an answer to its end and checks its digest. Calls `onChunk` after each message.
    tl::expected<Rows, Refusal> pull(const common::v1::Statement &statement,
                                     const std::function<void()> &onChunk,
                                     Duration timeout = std::chrono::seconds(30));

    // Continues this session at another VM.
    void switchToVm(const std::string &address);

    std::string token;

private:
    std::string m_key;
    std::string m_authorityFile;
    std::unique_ptr<caller::v1::Caller::Stub> m_stub;
};

inline TlsSettings plainTextTls()
{
    TlsSettings tls;
    tls.plainText = true;
    return tls;
}

// Options of a fixture. The group has three members in two regions.
struct FleetOptions
{
    std::vector<VmSettings> vms{{"vm-1", "portland", "gulf-maine"},
                                {"vm-2", "gloucester", "gulf-maine"},
                                {"vm-3", "new-haven", "south-coast"}};
    GroupOptions group;
    Duration shutdownGrace = std::chrono::seconds(20);
    uint32_t ratePerSecond = 10000;
    uint32_t burst = 10000;
    // Whether the daemons expose metrics over HTTP.
    bool metrics = false;
    // Must use plain text for targets and the platform, as the stand-in has no TLS.
    TlsSettings tls = plainTextTls();
};

class FleetFixture
{
public:
    explicit FleetFixture(FleetOptions options = {});
    ~FleetFixture();

    Daemon &daemon(size_t index);
    const Settings &settings(size_t index) const;

    // Shuts a daemon down gracefully and destroys it.
    void stopDaemon(size_t index);

    // Halts a daemon as by a crash and destroys it.
    void killDaemon(size_t index);

    // Partitions one VM from the platform, or ends the partition.
    void setStorePartitioned(size_t index, bool isPartitioned);

    TestCaller caller(size_t index, const std::string &key = TestKey) const;

    // Submits the operations to a VM and, if they are accepted, waits until the new revision is in
    // force at every running daemon.
    tl::expected<admin::v1::ChangeReply, Refusal>
    change(size_t index, const std::vector<configuration::v1::Operation> &operations);

    // Submits the request unchanged and doesn't wait for other daemons.
    tl::expected<admin::v1::ChangeReply, Refusal> submit(size_t index,
                                                         const admin::v1::ChangeRequest &request);

    admin::v1::StatusReply status(size_t index) const;

    GroupServers &group();
    void setStoreFault(const standin::v1::StoreFault &fault);

    // Polls until the predicate is true; returns false after 30 seconds.
    static bool waitUntil(const std::function<bool()> &predicate);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
