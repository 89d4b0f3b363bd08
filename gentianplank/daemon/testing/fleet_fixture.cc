#include "gentianplank/daemon/testing/fleet_fixture.h"

#include "gentianplank/base/answer_digest.h"
#include "gentianplank/base/digest.h"
#include "gentianplank/base/testing/reserved_address.h"
#include "gentianplank/proto/standin.grpc.pb.h"

#include <grpcpp/create_channel.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace gentianplank {

namespace {

// The number of VMs that follow a group in a larger fleet.
constexpr size_t WatcherCount = 3;
constexpr Duration WaitTimeout = std::chrono::seconds(30);

// Returns a stub that has no client certificate, as callers have none. An empty authority file
// means plain text.
template <typename Stub>
auto stubFor(const std::string &address, const std::string &authorityFile = {})
{
    if (authorityFile.empty()) {
        return Stub::NewStub(grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
    }
    std::ifstream in(authorityFile, std::ios::binary);
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = {std::istreambuf_iterator<char>(in), {}};
    return Stub::NewStub(grpc::CreateChannel(address, grpc::SslCredentials(options)));
}

void authorize(grpc::ClientContext &context, const std::string &key, Duration timeout)
{
    context.AddMetadata("authorization", "Bearer " + key);
    context.set_deadline(std::chrono::system_clock::now() + timeout);
}

common::v1::Statement makeStatement(const std::string &name, std::vector<std::string> parameters,
                                    bool readOnly)
{
    common::v1::Statement statement;
    statement.set_name(name);
    statement.mutable_parameters()->Assign(parameters.begin(), parameters.end());
    statement.set_read_only(readOnly);
    return statement;
}

void writeFile(const std::filesystem::path &file, const std::string &content)
{
    std::ofstream(file) << content << '\n';
}

} // namespace

common::v1::Statement putStatement(const std::string &key, const std::string &value)
{
    return makeStatement("ledger.put", {key, value}, false);
}

common::v1::Statement addStatement(const std::string &key, int amount)
{
    return makeStatement("ledger.add", {key, std::to_string(amount)}, false);
}

common::v1::Statement getStatement(const std::string &key)
{
    return makeStatement("ledger.get", {key}, true);
}

common::v1::Statement scanStatement(const std::string &prefix)
{
    return makeStatement("ledger.scan", {prefix}, true);
}

TestCaller::TestCaller(const std::string &address, std::string key, std::string authorityFile)
    : m_key(std::move(key))
    , m_authorityFile(std::move(authorityFile))
    , m_stub(stubFor<caller::v1::Caller>(address, m_authorityFile))
{}

tl::expected<caller::v1::ExecuteReply, Refusal>
TestCaller::execute(const common::v1::Statement &statement, const std::string &requestId,
                    Duration timeout)
{
    grpc::ClientContext context;
    authorize(context, m_key, timeout);
    caller::v1::ExecuteRequest request;
    request.set_route(TestRoute);
    request.set_request_id(requestId);
    *request.mutable_statement() = statement;
    request.set_session_token(token);
    caller::v1::ExecuteReply reply;
    const grpc::Status status = m_stub->Execute(&context, request, &reply);
    if (!status.ok()) {
        return tl::unexpected(fromStatus(status, ExecutionOutcome::Unknown));
    }
    token = reply.session_token();
    return reply;
}

tl::expected<Rows, Refusal> TestCaller::pull(const common::v1::Statement &statement,
                                             const std::function<void()> &onChunk, Duration timeout)
{
    grpc::ClientContext context;
    authorize(context, m_key, timeout);
    caller::v1::ExecuteRequest request;
    request.set_route(TestRoute);
    *request.mutable_statement() = statement;
    request.set_session_token(token);
    const auto reader = m_stub->Pull(&context, request);
    caller::v1::PullReply reply;
    AnswerDigest digest;
    Rows rows;
    bool isComplete = false;
    while (reader->Read(&reply)) {
        for (const common::v1::Row &it : reply.chunk().rows()) {
            digest.add(it);
            rows.push_back(it);
        }
        isComplete = isComplete || (reply.has_end() && digest.matches(reply.end().end()));
        onChunk();
    }
    const grpc::Status status = reader->Finish();
    if (!status.ok()) {
        return tl::unexpected(fromStatus(status, ExecutionOutcome::NotRun));
    }
    if (!isComplete) {
        return tl::unexpected(
            refuse(Reason::TargetFailed, ExecutionOutcome::NotRun, "incomplete answer"));
    }
    return rows;
}

void TestCaller::switchToVm(const std::string &address)
{
    m_stub = stubFor<caller::v1::Caller>(address, m_authorityFile);
}

struct FleetFixture::State
{
    std::filesystem::path directory;
    std::string platformAddress = reserveAddress();
    std::vector<MemberAddress> members;
    std::unique_ptr<GroupServers> group;
    std::unique_ptr<PlatformServer> platform;
    std::vector<Settings> settings;
    std::vector<std::unique_ptr<Daemon>> daemons;

    configuration::v1::Operation targetOperation(const GroupOptions &options) const
    {
        configuration::v1::Operation operation;
        configuration::v1::Target *target = operation.mutable_put_target();
        target->set_group(TestGroup);
        target->set_slots(options.slots);
        target->set_connections(options.connections);
        const char *const places[][2] = {
            {"portland", "gulf-maine"}, {"gloucester", "gulf-maine"}, {"new-haven", "south-coast"}};
        for (size_t i = 0; i < members.size(); ++i) {
            configuration::v1::Member *member = target->add_members();
            member->set_name(members[i].name);
            member->set_address(members[i].address);
            member->set_zone(places[i][0]);
            member->set_region(places[i][1]);
        }
        return operation;
    }

    bool isInForce(uint64_t revision) const
    {
        for (size_t i = 0; i < daemons.size(); ++i) {
            if (daemons[i] != nullptr && statusOf(i).revision < revision) {
                return false;
            }
        }
        return true;
    }

    // Whether every VM knows all others and holds its membership lease.
    bool haveAllJoined() const
    {
        for (size_t i = 0; i < daemons.size(); ++i) {
            const admin::v1::StatusReply reply = statusOf(i).reply;
            bool hasJoined = static_cast<size_t>(reply.vms_size()) == daemons.size();
            for (const admin::v1::VmStatus &it : reply.vms()) {
                hasJoined = hasJoined && (it.vm() != settings[i].vm.name || it.standing() == "yes");
            }
            if (!hasJoined) {
                return false;
            }
        }
        return true;
    }

    struct VmStatusReport
    {
        uint64_t revision = 0;
        admin::v1::StatusReply reply;
    };

    VmStatusReport statusOf(size_t index) const
    {
        grpc::ClientContext context;
        authorize(context, TestOperatorKey, std::chrono::seconds(5));
        VmStatusReport status;
        stubFor<admin::v1::Administration>(settings[index].listen.callers,
                                           settings[index].tls.authorityFile)
            ->Status(&context, {}, &status.reply);
        for (const admin::v1::VmStatus &it : status.reply.vms()) {
            if (it.vm() == settings[index].vm.name) {
                status.revision = it.configuration_revision();
            }
        }
        return status;
    }
};

FleetFixture::FleetFixture(FleetOptions options)
    : m_state(std::make_unique<State>())
{
    static int count = 0;
    m_state->directory =
        std::filesystem::temp_directory_path() /
        ("gentianplank-test-" + std::to_string(getpid()) + "-" + std::to_string(count++));
    std::filesystem::create_directories(m_state->directory);
    writeFile(m_state->directory / "session.secret", "0123456789abcdef0123456789abcdef");
    writeFile(m_state->directory / "operator.key", TestOperatorKey);

    options.group.group = TestGroup;
    for (const char *name : {"a", "b", "c"}) {
        m_state->members.push_back({name, reserveAddress()});
    }
    m_state->group = std::make_unique<GroupServers>(options.group, m_state->members);
    m_state->platform = std::make_unique<PlatformServer>(
        m_state->platformAddress, std::vector<GroupServers *>{m_state->group.get()});
    for (const VmSettings &it : options.vms) {
        Settings settings;
        settings.vm = it;
        settings.listen = {reserveAddress(), reserveAddress(),
                           options.metrics ? reserveAddress() : std::string()};
        settings.platform.address = reserveAddress();
        m_state->platform->addAddress(settings.platform.address);
        settings.tls = options.tls;
        settings.secrets = {m_state->directory / "session.secret",
                            m_state->directory / "operator.key"};
        settings.limits.shutdownGrace = options.shutdownGrace;
        m_state->settings.push_back(settings);
        auto daemon = startDaemon(settings);
        if (!daemon) {
            throw std::runtime_error(daemon.error());
        }
        m_state->daemons.push_back(std::move(*daemon));
    }
    if (!waitUntil([&] { return m_state->haveAllJoined(); })) {
        throw std::runtime_error("the VMs did not join the fleet within 30 s");
    }
    std::vector<configuration::v1::Operation> operations(4);
    operations[0].mutable_put_organisation()->set_name(TestOrganisation);
    operations[0].mutable_put_organisation()->set_rate_per_second(options.ratePerSecond);
    operations[0].mutable_put_organisation()->set_burst(options.burst);
    operations[1].mutable_grant_key()->set_digest(keyDigest(TestKey));
    operations[1].mutable_grant_key()->set_organisation(TestOrganisation);
    operations[2] = m_state->targetOperation(options.group);
    operations[3].mutable_put_route()->set_name(TestRoute);
    operations[3].mutable_put_route()->set_group(TestGroup);
    if (const auto changed = change(0, operations); !changed) {
        throw std::runtime_error("the initial configuration was refused: " +
                                 changed.error().message);
    }
    const bool ready = waitUntil([&] {
        size_t vmsKnowingPrimary = 0;
        for (size_t i = 0; i < m_state->daemons.size(); ++i) {
            const admin::v1::StatusReply reply = status(i);
            if (!daemon(i).isReady() || reply.groups_size() == 0 ||
                static_cast<size_t>(reply.vms_size()) != m_state->daemons.size()) {
                return false;
            }
            vmsKnowingPrimary += reply.groups(0).primary().empty() ? 0U : 1U;
        }
        // In a larger fleet, only the group's watchers and dispatchers know its primary.
        return vmsKnowingPrimary >= std::min(WatcherCount, m_state->daemons.size());
    });
    if (!ready) {
        throw std::runtime_error("the fleet did not become ready within 30 s");
    }
}

FleetFixture::~FleetFixture()
{
    m_state->daemons.clear();
    m_state->platform.reset();
    m_state->group.reset();
    std::error_code ec;
    std::filesystem::remove_all(m_state->directory, ec);
}

Daemon &FleetFixture::daemon(size_t index)
{
    return *m_state->daemons[index];
}

const Settings &FleetFixture::settings(size_t index) const
{
    return m_state->settings[index];
}

void FleetFixture::stopDaemon(size_t index)
{
    m_state->daemons[index].reset();
}

void FleetFixture::killDaemon(size_t index)
{
    m_state->daemons[index]->halt();
    m_state->daemons[index].reset();
}

void FleetFixture::setStorePartitioned(size_t index, bool isPartitioned)
{
    m_state->platform->setCut(m_state->settings[index].platform.address, isPartitioned);
}

TestCaller FleetFixture::caller(size_t index, const std::string &key) const
{
    return {m_state->settings[index].listen.callers, key,
            m_state->settings[index].tls.authorityFile};
}

tl::expected<admin::v1::ChangeReply, Refusal>
FleetFixture::change(size_t index, const std::vector<configuration::v1::Operation> &operations)
{
    admin::v1::ChangeRequest request;
    request.mutable_operations()->Assign(operations.begin(), operations.end());
    request.set_operator_name("test");
    request.set_reason("test");
    static int count = 0;
    request.set_write_id("write-" + std::to_string(count++));
    request.set_wait_ms(5000);
    auto reply = submit(index, request);
    if (reply) {
        waitUntil([&] { return m_state->isInForce(reply->revision()); });
    }
    return reply;
}

tl::expected<admin::v1::ChangeReply, Refusal>
FleetFixture::submit(size_t index, const admin::v1::ChangeRequest &request)
{
    grpc::ClientContext context;
    authorize(context, TestOperatorKey, std::chrono::seconds(20));
    admin::v1::ChangeReply reply;
    const grpc::Status status =
        stubFor<admin::v1::Administration>(m_state->settings[index].listen.callers,
                                           m_state->settings[index].tls.authorityFile)
            ->Change(&context, request, &reply);
    if (!status.ok()) {
        return tl::unexpected(fromStatus(status, ExecutionOutcome::Unknown));
    }
    return reply;
}

admin::v1::StatusReply FleetFixture::status(size_t index) const
{
    return m_state->statusOf(index).reply;
}

GroupServers &FleetFixture::group()
{
    return *m_state->group;
}

void FleetFixture::setStoreFault(const standin::v1::StoreFault &fault)
{
    grpc::ClientContext context;
    standin::v1::FaultRequest request;
    *request.mutable_store() = fault;
    standin::v1::FaultReply reply;
    stubFor<standin::v1::Faults>(m_state->platformAddress)->Set(&context, request, &reply);
}

bool FleetFixture::waitUntil(const std::function<bool()> &predicate)
{
    const Instant limit = steadyNow() + WaitTimeout;
    while (!predicate()) {
        if (steadyNow() > limit) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

} // namespace gentianplank
