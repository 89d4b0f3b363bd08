#include "gentianplank/soak/fault_schedule.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace gentianplank {

namespace {

constexpr std::array<std::pair<FaultKind, const char *>, 12> KindNames{{
    {FaultKind::KillVm, "kill VM"},
    {FaultKind::PauseVm, "pause VM"},
    {FaultKind::StopVm, "stop VM"},
    {FaultKind::ReloadVm, "reload VM"},
    {FaultKind::StoreBusy, "store refuses all calls"},
    {FaultKind::StoreLosesAnswers, "store loses its answers"},
    {FaultKind::StoreRejectsTransactions, "store rejects transactions"},
    {FaultKind::StoreForgetsHistory, "store forgets its history"},
    {FaultKind::CrashPrimary, "primary crashes"},
    {FaultKind::LoseAnswer, "primary loses an answer"},
    {FaultKind::MoveKey, "key moves"},
    {FaultKind::WithdrawKey, "key is withdrawn"},
}};

// The mean pause between the starts of two faults. Most faults last longer, so they overlap.
constexpr Duration MeanPause = std::chrono::milliseconds(1200);
constexpr Duration MinLength = std::chrono::milliseconds(300);
constexpr Duration MaxLength = std::chrono::milliseconds(5000);
// The load runs alone for a moment first.
constexpr Duration FirstFaultAt = std::chrono::milliseconds(1500);

bool concernsVm(FaultKind kind)
{
    return kind <= FaultKind::ReloadVm;
}

} // namespace

std::vector<PlannedFault> makeSchedule(uint64_t seed, Duration length, size_t vms)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](int64_t from, int64_t to) {
        return from + static_cast<int64_t>(random() % static_cast<uint64_t>(to - from + 1));
    };
    std::vector<PlannedFault> schedule;
    Duration at = FirstFaultAt;
    while (at < length - length / 4) {
        PlannedFault fault;
        fault.kind = KindNames[static_cast<size_t>(draw(0, KindNames.size() - 1))].first;
        fault.at = at;
        fault.length = Duration(draw(MinLength.count(), MaxLength.count()));
        fault.vm = static_cast<size_t>(draw(0, static_cast<int64_t>(vms) - 1));
        schedule.push_back(fault);
        at += Duration(draw(0, 2 * MeanPause.count()));
    }
    return schedule;
}

std::vector<PlannedFault> without(const std::vector<PlannedFault> &schedule, size_t i)
{
    std::vector<PlannedFault> rest = schedule;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(i));
    return rest;
}

std::string toString(const PlannedFault &fault)
{
    const auto it = std::find_if(KindNames.begin(), KindNames.end(),
                                 [&](const auto &known) { return known.first == fault.kind; });
    std::string text = std::to_string(toMilliseconds(fault.at)) + " ms: " + it->second;
    if (concernsVm(fault.kind)) {
        text += " " + std::to_string(fault.vm);
    }
    return text + " for " + std::to_string(toMilliseconds(fault.length)) + " ms";
}

} // namespace gentianplank
