// A model of many VMs that exchange tokens: the real exchanges over simulated time, message delays
// and callers. It measures which operations inside the limit are refused, and by how much five
// seconds exceed rate and burst. For tests.
#pragma once

#include "gentianplank/node/traffic/rate_exchange.h"

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace gentianplank::rate_model {

using namespace std::chrono_literals;

inline const Instant Start(1000s);
inline constexpr Duration Warmup = 6s;
inline constexpr Duration Window = 2s;
inline constexpr Duration BoundWindow = 5s;
inline constexpr int ZoneCount = 6;

inline double secondsOf(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

struct ModelVm
{
    Place place;
    std::unique_ptr<RateExchange> exchange;
    bool isDead = false;
    bool isFrozen = false;
    // When other VMs notice that it does not answer.
    Instant unreachableFrom = Instant::max();
    // Messages that arrived while it was frozen.
    std::vector<std::function<void()>> backlog;
};

// One organisation's limit and what was admitted of it.
struct ModelOrganisation
{
    std::string name;
    double perSecond = 0;
    double burst = 0;
    // A single bucket of the whole limit that sees the same operations.
    double referenceTokens = 0;
    Instant referenceFilledAt = Start;
    // Admissions of the reference less those of the fleet, and their maximum so far.
    double deficit = 0;
    double maxDeficit = 0;
    std::deque<Instant> admitted;
    double maxBoundUse = 0;
    int operations = 0;
    int refused = 0;
};

struct WindowCount
{
    double inside = 0;
    double lost = 0;
};

struct Figures
{
    double worstLossPercent = 0;
    double meanLossPercent = 0;
    // Largest number of operations in five seconds, in parts of rate x 5 s + burst.
    double maxBoundUse = 0;
    double messagesPerOperation = 0;
    double bytesPerOperation = 0;
    int refused = 0;
};

// Operations of one organisation: `factor` times its rate, at VMs chosen by `vmOf`.
struct LoadPattern
{
    double factor = 1;
    std::function<size_t(std::mt19937 &random, size_t organisation, Instant now)> vmOf;
    // Operations that arrive at the same VM at once.
    std::function<int(const ModelOrganisation &organisation)> groupSize = [](const auto &) {
        return 1;
    };
};

class Model
{
public:
    Model(size_t vmCount, std::vector<double> rates, unsigned seed)
        : m_random(seed)
    {
        auto routing = std::make_shared<Routing>();
        for (size_t i = 0; i < rates.size(); ++i) {
            const std::string name = "org-" + std::to_string(i);
            routing->organisations[name] = {name, {}, rates[i], rates[i]};
            ModelOrganisation &it = organisations.emplace_back();
            it.name = name;
            it.perSecond = rates[i];
            it.burst = rates[i];
        }
        view.routing = routing;
        view.wasRegisteredBeforeStart = true;
        for (size_t i = 0; i < vmCount; ++i) {
            const size_t zone = i % ZoneCount;
            const Place place{"zone-" + std::to_string(zone), zone < ZoneCount / 2 ? "a" : "b"};
            view.vms.push_back({"vm-" + std::to_string(i), "10.0.0.1:1", place, 1, false});
            vms.push_back({});
            vms.back().place = place;
        }
        for (size_t i = 0; i < vmCount; ++i) {
            startVm(i);
        }
        schedule(Start, [this] { tick(); });
    }

    void startVm(size_t i)
    {
        RateExchangeEnvironment environment;
        environment.isReachable = [this](const std::string &vm) {
            return vms[indexOf(vm)].unreachableFrom > now;
        };
        environment.send = [this, i](const std::string &vm, const peer::v1::Frame &frame) {
            send(i, indexOf(vm), frame);
            return true;
        };
        environment.now = [this] { return now; };
        vms[i].exchange = std::make_unique<RateExchange>("vm-" + std::to_string(i), vms[i].place,
                                                         ShareDelays{5200ms, 2s}, environment);
        vms[i].exchange->update(view, now);
    }

    // Starts the load of all organisations.
    void load(LoadPattern pattern)
    {
        m_pattern = std::move(pattern);
        for (size_t i = 0; i < organisations.size(); ++i) {
            scheduleArrival(i);
        }
    }

    void schedule(Instant at, std::function<void()> action)
    {
        m_events.push({at, m_nextEvent++, std::move(action)});
    }

    Figures run(Duration duration)
    {
        const Instant end = Start + duration;
        while (!m_events.empty() && m_events.top().at < end) {
            const Event event = m_events.top();
            m_events.pop();
            now = event.at;
            event.action();
        }
        Figures figures;
        double inside = 0;
        double lost = 0;
        for (const auto &[number, it] : m_windows) {
            inside += it.inside;
            lost += it.lost;
            figures.worstLossPercent =
                std::max(figures.worstLossPercent, 100 * it.lost / std::max(1.0, it.inside));
        }
        int operations = 0;
        for (const ModelOrganisation &it : organisations) {
            operations += it.operations;
            figures.refused += it.refused;
            figures.maxBoundUse = std::max(figures.maxBoundUse, it.maxBoundUse);
        }
        figures.meanLossPercent = 100 * lost / std::max(1.0, inside);
        figures.messagesPerOperation = static_cast<double>(m_messages) / operations;
        figures.bytesPerOperation = static_cast<double>(m_bytes) / operations;
        return figures;
    }

    // Runs `action` at a VM that handles messages; a frozen one runs it when it resumes.
    void atVm(size_t vm, std::function<void()> action)
    {
        if (vms[vm].isFrozen) {
            vms[vm].backlog.push_back(std::move(action));
        } else if (!vms[vm].isDead) {
            action();
        }
    }

    void freeze(size_t vm, Duration duration)
    {
        vms[vm].isFrozen = true;
        vms[vm].unreachableFrom = now + 2650ms;
        schedule(now + duration, [this, vm] {
            vms[vm].isFrozen = false;
            vms[vm].unreachableFrom = Instant::max();
            for (const auto &it : std::exchange(vms[vm].backlog, {})) {
                it();
            }
        });
    }

    void kill(size_t vm)
    {
        vms[vm].isDead = true;
        vms[vm].unreachableFrom = now + 50ms;
    }

    // All processes start again at once, with nothing left of their tokens.
    void restartAll()
    {
        for (size_t i = 0; i < vms.size(); ++i) {
            startVm(i);
        }
    }

    // Every VM applies the current view within half a second.
    void publishView()
    {
        for (size_t i = 0; i < vms.size(); ++i) {
            schedule(now + std::chrono::milliseconds(m_random() % 500), [this, i, copy = view] {
                atVm(i, [this, i, copy] { vms[i].exchange->update(copy, now); });
            });
        }
    }

    static size_t indexOf(const std::string &vm) { return std::stoul(vm.substr(3)); }

    Instant now = Start;
    FleetView view;
    std::vector<ModelVm> vms;
    std::vector<ModelOrganisation> organisations;

private:
    struct Event
    {
        Instant at;
        uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    Duration delayBetween(size_t from, size_t to)
    {
        const auto jitter = std::chrono::microseconds(m_random() % 4000);
        const bool isFar = vms[from].place.region != vms[to].place.region;
        return jitter + (isFar ? 21ms : 1ms);
    }

    void count(const peer::v1::Frame &frame)
    {
        if (now >= Start + Warmup) {
            ++m_messages;
            m_bytes += frame.ByteSizeLong();
        }
    }

    void send(size_t from, size_t to, const peer::v1::Frame &frame)
    {
        count(frame);
        schedule(now + delayBetween(from, to), [this, from, to, frame] {
            atVm(to, [this, from, to, frame] {
                if (frame.has_rate_grant()) {
                    vms[to].exchange->handleReturn(frame.rate_grant());
                    return;
                }
                vms[to].exchange->handleAsk(
                    "vm-" + std::to_string(from), frame.rate_ask(),
                    [this, from, to](const peer::v1::RateGrant &grant) {
                        peer::v1::Frame answer;
                        *answer.mutable_rate_grant() = grant;
                        count(answer);
                        schedule(now + delayBetween(to, from), [this, from, to, grant] {
                            atVm(from, [this, from, to, grant] {
                                vms[from].exchange->handleGrant("vm-" + std::to_string(to), grant);
                            });
                        });
                        return true;
                    });
            });
        });
    }

    void tick()
    {
        for (size_t i = 0; i < vms.size(); ++i) {
            if (!vms[i].isDead && !vms[i].isFrozen) {
                vms[i].exchange->tick();
            }
        }
        schedule(now + 20ms, [this] { tick(); });
    }

    void scheduleArrival(size_t organisation)
    {
        const ModelOrganisation &it = organisations[organisation];
        const int group = m_pattern.groupSize(it);
        std::exponential_distribution<double> gap(it.perSecond * m_pattern.factor / group);
        const Duration wait(static_cast<int64_t>(gap(m_random) * 1e6) + 1);
        schedule(now + wait, [this, organisation, group] {
            size_t vm = m_pattern.vmOf(m_random, organisation, now);
            // Callers of a VM that does not answer connect to another one.
            while (vms[vm].isDead || vms[vm].isFrozen) {
                vm = m_random() % vms.size();
            }
            for (int i = 0; i < group; ++i) {
                admitOne(organisation, vm);
            }
            scheduleArrival(organisation);
        });
    }

    void admitOne(size_t organisation, size_t vm)
    {
        const Instant at = now;
        ModelOrganisation &it = organisations[organisation];
        it.referenceTokens = std::min(
            it.burst, it.referenceTokens + secondsOf(now - it.referenceFilledAt) * it.perSecond);
        it.referenceFilledAt = now;
        const bool isInside = it.referenceTokens >= 1;
        it.referenceTokens -= isInside ? 1 : 0;
        vms[vm].exchange->admit(it.name, [this, organisation, at, isInside](bool ok) {
            record(organisations[organisation], at, isInside, ok);
        });
    }

    void record(ModelOrganisation &it, Instant at, bool isInside, bool isAdmitted)
    {
        if (isAdmitted) {
            it.admitted.push_back(now);
            while (it.admitted.front() <= now - BoundWindow) {
                it.admitted.pop_front();
            }
            const double bound = it.perSecond * secondsOf(BoundWindow) + it.burst;
            const double tolerated = bound * 1.1 + 20;
            it.maxBoundUse =
                std::max(it.maxBoundUse, static_cast<double>(it.admitted.size()) / tolerated);
        }
        it.deficit += (isInside ? 1 : 0) - (isAdmitted ? 1 : 0);
        if (at < Start + Warmup) {
            // Tokens that are held by VMs or in transit are no loss later.
            it.maxDeficit =
                at < Start + Warmup / 2 ? it.deficit : std::max(it.maxDeficit, it.deficit);
            return;
        }
        ++it.operations;
        it.refused += isAdmitted ? 0 : 1;
        WindowCount &window = m_windows[(at - Start) / Window];
        window.inside += isInside ? 1 : 0;
        if (it.deficit > it.maxDeficit) {
            window.lost += it.deficit - it.maxDeficit;
            it.maxDeficit = it.deficit;
        }
    }

    std::mt19937 m_random;
    LoadPattern m_pattern;
    std::priority_queue<Event> m_events;
    uint64_t m_nextEvent = 0;
    std::map<int64_t, WindowCount> m_windows;
    size_t m_messages = 0;
    size_t m_bytes = 0;
};

} // namespace gentianplank::rate_model
