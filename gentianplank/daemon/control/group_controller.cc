#include "gentianplank/daemon/control/group_controller.h"

#include "gentianplank/base/log.h"
#include "gentianplank/daemon/control/failover_controller.h"
#include "gentianplank/proto/target.grpc.pb.h"
#include "gentianplank/target/failover.h"

#include <grpcpp/client_context.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

namespace gentianplank {

namespace {

constexpr Duration WatchRetryPause = std::chrono::milliseconds(100);

Role roleOf(target::v1::Role role)
{
    switch (role) {
    case target::v1::ROLE_PRIMARY:
        return Role::Primary;
    case target::v1::ROLE_REPLICA:
        return Role::Replica;
    default:
        return Role::Unknown;
    }
}

MemberReport reportOf(const target::v1::MemberStatus &status, Instant receivedAt)
{
    MemberReport report{status.member(), roleOf(status.role()), fromWire(status.position()),
                        status.fenced_term(), receivedAt};
    report.primarySilence = std::chrono::milliseconds(status.primary_silent_ms());
    if (status.sent_at_us() > 0) {
        report.sentAt = Duration(static_cast<Duration::rep>(status.sent_at_us()));
    }
    return report;
}

// A thread that reads one member's status stream, and reconnects when it ends, until destroyed. The
// callbacks run on that thread.
class MemberWatch
{
public:
    using OnReport = std::function<void(const MemberReport &)>;
    using OnDisconnected = std::function<void()>;

    MemberWatch(const std::shared_ptr<grpc::Channel> &channel, Duration interval, OnReport onReport,
                OnDisconnected onDisconnected)
        : m_stub(target::v1::Member::NewStub(channel))
        , m_interval(interval)
        , m_onReport(std::move(onReport))
        , m_onDisconnected(std::move(onDisconnected))
        , m_thread([this] { run(); })
    {}

    ~MemberWatch()
    {
        m_stopping = true;
        {
            const std::lock_guard lock(m_mutex);
            if (m_context != nullptr) {
                m_context->TryCancel();
            }
        }
        m_thread.join();
    }

    MemberWatch(const MemberWatch &) = delete;
    MemberWatch &operator=(const MemberWatch &) = delete;

private:
    void run()
    {
        while (!m_stopping) {
            follow();
            m_onDisconnected();
            std::this_thread::sleep_for(WatchRetryPause);
        }
    }

    void follow()
    {
        grpc::ClientContext context;
        setContext(&context);
        target::v1::WatchRequest request;
        request.set_interval_ms(static_cast<uint32_t>(toMilliseconds(m_interval)));
        const auto reader = m_stub->Watch(&context, request);
        target::v1::MemberStatus status;
        while (!m_stopping && reader->Read(&status)) {
            m_onReport(reportOf(status, steadyNow()));
        }
        context.TryCancel();
        reader->Finish();
        setContext(nullptr);
    }

    void setContext(grpc::ClientContext *context)
    {
        const std::lock_guard lock(m_mutex);
        m_context = context;
    }

    std::unique_ptr<target::v1::Member::Stub> m_stub;
    Duration m_interval;
    OnReport m_onReport;
    OnDisconnected m_onDisconnected;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    grpc::ClientContext *m_context = nullptr;
    std::thread m_thread;
};

} // namespace

struct GroupController::State : std::enable_shared_from_this<GroupController::State>
{
    State(ControlLoop &controlLoop, ChannelFactory &factory, FleetState &fleet,
          GroupViewRegistry &viewRegistry, std::string vm)
        : loop(controlLoop)
        , channels(factory)
        , fleetState(fleet)
        , groupViews(viewRegistry)
        , vmName(std::move(vm))
    {}

    // Returns how often the group's members are to report to this VM: most often to a failover
    // watcher, less often to a dispatcher, and otherwise rarely or, with many groups, never.
    std::optional<Duration> intervalFor(const GroupView &view, size_t groups) const
    {
        const auto vms = fleetState.vms.get();
        const auto watchers = watchersOf(*vms, view.group, WatchersPerGroup);
        if (std::find(watchers.begin(), watchers.end(), vmName) != watchers.end()) {
            return watchIntervalFor(groups);
        }
        const auto dispatches = [&](const MemberView &it) {
            return dispatcherOf(*vms, view.group, it.place.region) == vmName;
        };
        if (std::any_of(view.members.begin(), view.members.end(), dispatches)) {
            return dispatchIntervalFor(groups);
        }
        return idleIntervalFor(groups);
    }

    // Ends all watches whose id isn't in `wanted`. Destroying a watch joins its thread, so that is
    // done on a worker.
    void endWatchesExcept(const std::set<std::string> &wanted)
    {
        auto ended = std::make_shared<std::vector<std::unique_ptr<MemberWatch>>>();
        for (auto it = watches.begin(); it != watches.end();) {
            if (wanted.contains(it->first)) {
                ++it;
                continue;
            }
            ended->push_back(std::move(it->second));
            it = watches.erase(it);
        }
        if (!ended->empty()) {
            loop.runBlocking([ended] { ended->clear(); });
        }
    }

    void publish(const std::string &group)
    {
        groupViews.publish(std::make_shared<const GroupView>(views.at(group)));
    }

    void onReport(const std::string &group, const MemberReport &report)
    {
        const auto it = views.find(group);
        if (it == views.end()) {
            return;
        }
        applyReport(it->second, report);
        publish(group);
    }

    void onDisconnected(const std::string &group, const std::string &member)
    {
        const auto it = views.find(group);
        if (it == views.end()) {
            return;
        }
        markDisconnected(it->second, member);
        publish(group);
    }

    static std::string watchId(const std::string &group, const MemberView &member,
                               Duration interval)
    {
        return group + "/" + member.name + "@" + member.address + "/" +
               std::to_string(toMilliseconds(interval));
    }

    void watch(const std::string &group, const MemberView &member, Duration interval);

    ControlLoop &loop;
    ChannelFactory &channels;
    FleetState &fleetState;
    GroupViewRegistry &groupViews;
    std::string vmName;
    // Control thread only.
    bool stopped = false;
    std::map<std::string, GroupView> views;
    // By watchId().
    std::map<std::string, std::unique_ptr<MemberWatch>> watches;
};

void GroupController::State::watch(const std::string &group, const MemberView &member,
                                   Duration interval)
{
    const std::string id = watchId(group, member, interval);
    if (watches.contains(id)) {
        return;
    }
    const std::weak_ptr<State> weak = shared_from_this();
    const auto onReport = [weak, group, this](const MemberReport &report) {
        loop.post([weak, group, report] {
            if (const auto self = weak.lock()) {
                self->onReport(group, report);
            }
        });
    };
    const auto onDisconnected = [weak, group, name = member.name, this] {
        loop.post([weak, group, name] {
            if (const auto self = weak.lock()) {
                self->onDisconnected(group, name);
            }
        });
    };
    watches.emplace(id, std::make_unique<MemberWatch>(channels.channelTo(member.address), interval,
                                                      onReport, onDisconnected));
}

GroupController::GroupController(ControlLoop &loop, ChannelFactory &channels,
                                 FleetState &fleetState, GroupViewRegistry &groupViews,
                                 std::string self)
    : m_state(std::make_shared<State>(loop, channels, fleetState, groupViews, std::move(self)))
{}

GroupController::~GroupController() = default;

void GroupController::updateTargets()
{
    if (m_state->stopped) {
        return;
    }
    std::set<std::string> wanted;
    const auto configuration = m_state->fleetState.configuration.get();
    for (const configuration::v1::Target &target : configuration->document().targets()) {
        const auto [it, isNew] = m_state->views.try_emplace(target.group(), makeGroupView(target));
        if (!isNew) {
            updateTarget(it->second, target);
        }
        m_state->publish(target.group());
        const auto interval = m_state->intervalFor(
            it->second, static_cast<size_t>(configuration->document().targets_size()));
        if (!interval) {
            continue;
        }
        for (const MemberView &member : it->second.members) {
            wanted.insert(State::watchId(target.group(), member, *interval));
            m_state->watch(target.group(), member, *interval);
        }
    }
    m_state->endWatchesExcept(wanted);
}

void GroupController::stop()
{
    std::map<std::string, std::unique_ptr<MemberWatch>> ended;
    std::promise<void> moved;
    m_state->loop.post([&] {
        m_state->stopped = true;
        ended = std::move(m_state->watches);
        moved.set_value();
    });
    moved.get_future().wait();
}

} // namespace gentianplank
