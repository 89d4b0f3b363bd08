#include "gentianplank/daemon/control/configuration_controller.h"

#include "gentianplank/base/log.h"
#include "gentianplank/daemon/control/control_call.h"
#include "gentianplank/vm/member_log.h"

#include <absl/strings/str_join.h>

#include <sodium.h>

#include <deque>
#include <thread>

namespace gentianplank {

namespace {

// Polling is a fallback: pushes and heartbeats are faster, and the membership's own store reads
// report the newest revision.
constexpr Duration PollInterval = std::chrono::seconds(5);
// The poll interval until a first revision is applied.
constexpr Duration StartPollInterval = std::chrono::milliseconds(200);
constexpr Duration StoreTimeout = std::chrono::milliseconds(1000);
constexpr Duration SubmitTimeout = std::chrono::seconds(2);
constexpr Duration PeerTimeout = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds ProgressPollInterval{10};
constexpr uint32_t ChangesPerRead = 100;
// How many applied changes are kept for peers to fetch.
constexpr size_t MaxRecentChanges = 200;
constexpr uint64_t RevisionsPerSnapshot = 100;
constexpr std::string_view SnapshotName = "configuration/snapshot";
constexpr int AppendAttempts = 5;

ConfigurationChange makeChange(const admin::v1::ChangeRequest &request, std::string_view vm)
{
    ConfigurationChange change;
    change.set_write_id(request.write_id());
    if (request.write_id().empty()) {
        change.set_write_id(std::string(vm) + "-" + std::to_string(randombytes_random()) + "-" +
                            std::to_string(randombytes_random()));
    }
    *change.mutable_operations() = request.operations();
    change.set_operator_name(request.operator_name());
    change.set_reason(request.reason());
    change.set_vm(std::string(vm));
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    change.set_written_at_ms(static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()));
    return change;
}

Refusal conflictRefusal(const ConfigurationChange &conflictingChange)
{
    if (conflictingChange.revision() == 0) {
        return refuse(Reason::Conflict, ExecutionOutcome::NotRun,
                      "another change was stored first; read the configuration and retry");
    }
    return refuse(Reason::Conflict, ExecutionOutcome::NotRun,
                  "operator " + conflictingChange.operator_name() + " stored revision " +
                      std::to_string(conflictingChange.revision()) + " first");
}

Refusal refusalOf(const AppendFailure &failure)
{
    switch (failure.error) {
    case AppendError::Conflict:
        return conflictRefusal(failure.conflictingChange);
    case AppendError::MembersChanged:
        return refuse(Reason::Conflict, ExecutionOutcome::NotRun,
                      "the member list changed during every attempt to store; retry");
    case AppendError::Unavailable:
        return refuse(Reason::StoreUnavailable, ExecutionOutcome::NotRun,
                      "the store is unavailable; the change was not stored");
    case AppendError::OutcomeUnknown:
        break;
    }
    return refuse(Reason::StoreUnavailable, ExecutionOutcome::Unknown,
                  "the store did not confirm the write; retry with the same write id");
}

} // namespace

struct ConfigurationController::State : std::enable_shared_from_this<ConfigurationController::State>
{
    explicit State(ConfigurationDependencies controllerDependencies)
        : dependencies(std::move(controllerDependencies))
    {}

    struct StoredConfiguration
    {
        ConfigurationDocument snapshot;
        tl::expected<std::vector<ConfigurationChange>, StoreError> changes;
    };

    // Returns the change as the successor of the store's newest revision. Blocks.
    tl::expected<ConfigurationChange, Refusal> rebase(ConfigurationChange change,
                                                      uint64_t expectedRevision);
    tl::expected<StoredChange, Refusal> store(const ConfigurationChange &change,
                                              uint64_t expectedRevision);
    StoredConfiguration load(uint64_t known);
    void poll();
    void fetchFrom(const std::string &address);
    void onFetched(const vm::v1::FetchChangesReply &reply);
    void apply(const std::vector<ConfigurationChange> &changes);
    void publish();
    void saveSnapshot();
    void push(const ConfigurationChange &change);
    vm::v1::WitnessReply handleWitness(const vm::v1::WitnessRequest &request);
    vm::v1::FetchChangesReply changesAfter(uint64_t revision) const;
    admin::v1::ChangeReply waitUntilInForce(const StoredChange &stored, Duration wait);

    ConfigurationDependencies dependencies;
    MembershipController *membership = nullptr;
    // Control thread only.
    ConfigurationDocument document;
    std::deque<ConfigurationChange> recentChanges;
    bool polling = false;
    bool fetching = false;
};

ConfigurationController::State::StoredConfiguration
ConfigurationController::State::load(uint64_t known)
{
    StoredConfiguration loaded{{}, {}};
    if (known == 0) {
        const auto object = dependencies.objects.get(SnapshotName, StoreTimeout);
        if (object && *object) {
            loaded.snapshot.ParseFromString(**object);
        }
    }
    const uint64_t from = std::max(known, loaded.snapshot.revision());
    loaded.changes = dependencies.log.readAfter(from, ChangesPerRead, StoreTimeout);
    return loaded;
}

void ConfigurationController::State::poll()
{
    if (polling) {
        return;
    }
    polling = true;
    const uint64_t known = document.revision();
    dependencies.loop.callBlocking([this, known] { return load(known); },
                                   [self = shared_from_this()](StoredConfiguration loaded) {
                                       self->polling = false;
                                       if (!loaded.changes) {
                                           return;
                                       }
                                       if (loaded.snapshot.revision() > self->document.revision()) {
                                           self->document = std::move(loaded.snapshot);
                                           self->recentChanges.clear();
                                           self->publish();
                                       }
                                       self->apply(*loaded.changes);
                                       if (loaded.changes->size() == ChangesPerRead) {
                                           self->poll();
                                       }
                                   });
}

void ConfigurationController::State::fetchFrom(const std::string &address)
{
    if (fetching) {
        return;
    }
    fetching = true;
    vm::v1::FetchChangesRequest request;
    request.set_after_revision(document.revision());
    dependencies.peers.fetchChanges(address, request, PeerTimeout,
                                    [self = shared_from_this()](const auto *reply) {
                                        self->fetching = false;
                                        if (reply == nullptr) {
                                            self->poll();
                                            return;
                                        }
                                        self->onFetched(*reply);
                                    });
}

void ConfigurationController::State::onFetched(const vm::v1::FetchChangesReply &reply)
{
    const bool gap =
        !reply.changes().empty() && reply.changes(0).revision() > document.revision() + 1;
    if (gap) {
        // The peer no longer keeps the oldest missing changes.
        poll();
    }
    apply({reply.changes().begin(), reply.changes().end()});
    if (reply.members_revision() > 0) {
        membership->applyMemberList(fromWire(reply.members(), reply.members_revision()));
    }
}

void ConfigurationController::State::apply(const std::vector<ConfigurationChange> &changes)
{
    bool applied = false;
    for (const ConfigurationChange &it : changes) {
        if (!applyChange(document, it)) {
            continue;
        }
        applied = true;
        recentChanges.push_back(it);
        if (recentChanges.size() > MaxRecentChanges) {
            recentChanges.pop_front();
        }
    }
    if (applied) {
        publish();
    }
}

void ConfigurationController::State::publish()
{
    dependencies.fleetState.configuration.set(std::make_shared<const ConfigurationView>(document));
    logInfo("configuration", "Revision ", document.revision(), " is in force on this VM.");
    membership->onConfigurationApplied(document.revision());
    dependencies.onApplied();
}

void ConfigurationController::State::saveSnapshot()
{
    dependencies.loop.runBlocking(
        [self = shared_from_this(), value = document.SerializeAsString()] {
            if (!self->dependencies.objects.put(SnapshotName, value, StoreTimeout)) {
                logWarning("configuration", "Storing the configuration snapshot failed; it is "
                                            "retried at the next snapshot revision.");
            }
        });
}

void ConfigurationController::State::push(const ConfigurationChange &change)
{
    vm::v1::WitnessRequest request;
    request.mutable_sender()->set_vm(membership->lease().vm);
    request.mutable_sender()->set_number(membership->lease().incarnation);
    *request.mutable_change() = change;
    for (const VmInfo &it : membership->lease().members.vms) {
        if (it.name == membership->lease().vm) {
            continue;
        }
        dependencies.peers.witness(it.address, request, PeerTimeout,
                                   [self = shared_from_this(), it](const auto *reply) {
                                       if (reply != nullptr) {
                                           self->membership->sendHeartbeat(it);
                                       }
                                   });
    }
}

vm::v1::WitnessReply
ConfigurationController::State::handleWitness(const vm::v1::WitnessRequest &request)
{
    const uint64_t revision = request.change().revision();
    if (revision == document.revision() + 1) {
        apply({request.change()});
    } else if (revision > document.revision()) {
        const VmInfo *sender = findVm(membership->lease().members, request.sender().vm());
        if (sender == nullptr) {
            poll();
        } else {
            fetchFrom(sender->address);
        }
    }
    vm::v1::WitnessReply reply;
    reply.set_witnessed(document.revision() >= revision);
    reply.set_configuration_revision(document.revision());
    reply.mutable_receiver()->set_vm(membership->lease().vm);
    reply.mutable_receiver()->set_number(membership->lease().incarnation);
    reply.set_members_revision(membership->lease().members.revision);
    return reply;
}

vm::v1::FetchChangesReply ConfigurationController::State::changesAfter(uint64_t revision) const
{
    vm::v1::FetchChangesReply reply;
    for (const ConfigurationChange &it : recentChanges) {
        if (it.revision() > revision) {
            *reply.add_changes() = it;
        }
    }
    const VmDirectory &members = membership->lease().members;
    *reply.mutable_members() = toWire(members);
    reply.set_members_revision(members.revision);
    return reply;
}

tl::expected<ConfigurationChange, Refusal>
ConfigurationController::State::rebase(ConfigurationChange change, uint64_t expectedRevision)
{
    ConfigurationDocument current = dependencies.fleetState.configuration.get()->document();
    const auto missing =
        dependencies.log.readAfter(current.revision(), ChangesPerRead, SubmitTimeout);
    if (!missing) {
        return tl::unexpected(refusalOf({AppendError::Unavailable, {}}));
    }
    for (const ConfigurationChange &it : *missing) {
        applyChange(current, it);
    }
    if (expectedRevision != 0 && expectedRevision != current.revision()) {
        const auto conflictingChange =
            dependencies.log.readAfter(expectedRevision, 1, SubmitTimeout);
        const bool known = conflictingChange && !conflictingChange->empty();
        return tl::unexpected(
            conflictRefusal(known ? conflictingChange->front() : ConfigurationChange()));
    }
    const std::vector<ConfigurationOperation> operations(change.operations().begin(),
                                                         change.operations().end());
    const auto applied = applyOperations(current, operations);
    if (!applied) {
        return tl::unexpected(refuse(Reason::InvalidRequest, ExecutionOutcome::NotRun,
                                     absl::StrJoin(applied.error(), "; ")));
    }
    change.set_revision(current.revision() + 1);
    change.mutable_before()->Assign(applied->before.begin(), applied->before.end());
    change.mutable_after()->Assign(applied->after.begin(), applied->after.end());
    return change;
}

tl::expected<StoredChange, Refusal>
ConfigurationController::State::store(const ConfigurationChange &change, uint64_t expectedRevision)
{
    const auto earlier = dependencies.log.findWrite(change.write_id(), SubmitTimeout);
    if (!earlier) {
        return tl::unexpected(refusalOf({AppendError::Unavailable, {}}));
    }
    if (*earlier) {
        return **earlier;
    }
    AppendFailure failure;
    for (int i = 0; i < AppendAttempts; ++i) {
        const auto rebased = rebase(change, expectedRevision);
        if (!rebased) {
            return tl::unexpected(rebased.error());
        }
        const auto stored = dependencies.log.append(*rebased, SubmitTimeout);
        if (stored) {
            dependencies.loop.post([self = shared_from_this(), rebased = *rebased] {
                self->apply({rebased});
                self->poll();
                self->push(rebased);
                if (rebased.revision() % RevisionsPerSnapshot == 0 &&
                    self->document.revision() == rebased.revision()) {
                    self->saveSnapshot();
                }
            });
            return *stored;
        }
        failure = stored.error();
        if (failure.error != AppendError::MembersChanged) {
            break;
        }
    }
    return tl::unexpected(refusalOf(failure));
}

admin::v1::ChangeReply ConfigurationController::State::waitUntilInForce(const StoredChange &stored,
                                                                        Duration wait)
{
    admin::v1::ChangeReply reply;
    reply.set_revision(stored.revision);
    reply.set_stored(true);
    const Instant until = steadyNow() + wait;
    Instant acceptedAt{};
    while (true) {
        const auto progress = callOnControlThread(
            dependencies.loop,
            [self = shared_from_this(), stored] {
                return self->membership->progressOf(stored.revision, stored.membersRevision);
            },
            PeerTimeout);
        const Instant now = steadyNow();
        if (progress && progress->accepted && acceptedAt == Instant{}) {
            acceptedAt = now;
        }
        if (progress) {
            const bool isEnforced =
                acceptedAt != Instant{} && now - acceptedAt >= EnforcedAfterAcceptance;
            reply.set_accepted(acceptedAt != Instant{});
            reply.set_in_force(progress->confirmed || isEnforced);
            reply.mutable_waiting_for()->Assign(progress->laggingVms.begin(),
                                                progress->laggingVms.end());
        }
        if (reply.in_force() || now >= until) {
            return reply;
        }
        std::this_thread::sleep_for(ProgressPollInterval);
    }
}

ConfigurationController::ConfigurationController(ConfigurationDependencies dependencies)
    : m_state(std::make_shared<State>(std::move(dependencies)))
{}

ConfigurationController::~ConfigurationController() = default;

void ConfigurationController::start(MembershipController &membership)
{
    m_state->membership = &membership;
    m_state->dependencies.loop.every(PollInterval, [state = m_state] { state->poll(); });
    m_state->dependencies.loop.every(StartPollInterval, [state = m_state] {
        if (state->document.revision() == 0) {
            state->poll();
        }
    });
}

tl::expected<admin::v1::ChangeReply, Refusal>
ConfigurationController::submit(const admin::v1::ChangeRequest &request, std::string_view vm)
{
    if (request.reason().empty() || request.operator_name().empty()) {
        return tl::unexpected(refuse(Reason::InvalidRequest, ExecutionOutcome::NotRun,
                                     "a change needs an operator name and a reason"));
    }
    if (!m_state->dependencies.fleetState.membershipLease.isValid(steadyNow())) {
        return tl::unexpected(refuse(Reason::NoMembershipLease, ExecutionOutcome::NotRun,
                                     "this VM holds no membership lease; use another VM"));
    }
    const auto stored = m_state->store(makeChange(request, vm), request.expected_revision());
    if (!stored) {
        return tl::unexpected(stored.error());
    }
    return m_state->waitUntilInForce(*stored, std::chrono::milliseconds(request.wait_ms()));
}

tl::expected<std::vector<ConfigurationChange>, StoreError>
ConfigurationController::history(uint64_t afterRevision, uint32_t limit, Duration timeout)
{
    return m_state->dependencies.log.readAfter(afterRevision, limit, timeout);
}

vm::v1::WitnessReply ConfigurationController::onWitness(const vm::v1::WitnessRequest &request)
{
    const auto reply = callOnControlThread(
        m_state->dependencies.loop,
        [state = m_state, request] { return state->handleWitness(request); }, PeerTimeout);
    return reply.value_or(vm::v1::WitnessReply());
}

vm::v1::FetchChangesReply
ConfigurationController::onFetchChanges(const vm::v1::FetchChangesRequest &request)
{
    const auto reply = callOnControlThread(
        m_state->dependencies.loop,
        [state = m_state, after = request.after_revision()] { return state->changesAfter(after); },
        PeerTimeout);
    return reply.value_or(vm::v1::FetchChangesReply());
}

void ConfigurationController::catchUp(const std::string &address)
{
    if (address.empty()) {
        m_state->poll();
    } else {
        m_state->fetchFrom(address);
    }
}

} // namespace gentianplank
