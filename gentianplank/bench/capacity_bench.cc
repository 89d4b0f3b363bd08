// Measures CPU time and memory of the control decisions at three or more sizes in one process.
// docs/CAPACITY.md extrapolates from the slopes.
//
//     build/default/gentianplank/bench/capacity_bench --benchmark_filter=configurationView

#include "gentianplank/base/digest.h"
#include "gentianplank/base/rendezvous.h"
#include "gentianplank/configuration/change.h"
#include "gentianplank/configuration/view.h"
#include "gentianplank/session/session_token.h"
#include "gentianplank/target/group_view.h"
#include "gentianplank/target/read_choice.h"
#include "gentianplank/vm/vm_directory.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <string>

namespace gentianplank {

namespace {

constexpr int Zones = 15;
constexpr int Regions = 4;

// Heap bytes in use by the process.
size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

std::string numberedName(const std::string &name, int64_t number)
{
    return name + "-" + std::to_string(number);
}

Place placeOf(int64_t number)
{
    return {numberedName("zone", number % Zones), numberedName("region", number % Zones % Regions)};
}

// Returns a document of n targets with three members each, and n organisations, keys and routes.
ConfigurationDocument makeDocument(int64_t n)
{
    ConfigurationDocument document;
    document.mutable_defaults()->set_rate_per_second(100);
    document.mutable_defaults()->set_burst(50);
    for (int64_t i = 0; i < n; ++i) {
        document.add_organisations()->set_name(numberedName("organisation", i));
        configuration::v1::KeyGrant *key = document.add_keys();
        key->set_digest(keyDigest(numberedName("key", i)));
        key->set_organisation(numberedName("organisation", i));
        configuration::v1::Target *target = document.add_targets();
        target->set_group(numberedName("ledger", i));
        target->set_slots(2);
        target->set_connections(16);
        for (int64_t m = 0; m < 3; ++m) {
            configuration::v1::Member *member = target->add_members();
            member->set_name(numberedName("member", m));
            member->set_address("127.0.0.1:70000");
            member->set_zone(placeOf(i + m).zone);
            member->set_region(placeOf(i + m).region);
        }
        configuration::v1::Route *route = document.add_routes();
        route->set_name(numberedName("route", i));
        route->set_group(numberedName("ledger", i));
    }
    return document;
}

VmDirectory makeDirectory(int64_t n)
{
    VmDirectory directory;
    for (int64_t i = 0; i < n; ++i) {
        VmInfo vm;
        vm.name = numberedName("vm", i);
        vm.address = "127.0.0.1:70000";
        vm.place = placeOf(i);
        directory.vms.push_back(std::move(vm));
    }
    return directory;
}

GroupView makeGroup(int64_t members)
{
    configuration::v1::Target target;
    target.set_group("ledger-1");
    for (int64_t i = 0; i < members; ++i) {
        configuration::v1::Member *member = target.add_members();
        member->set_name(numberedName("member", i));
        member->set_address("127.0.0.1:70000");
        member->set_zone(placeOf(i).zone);
        member->set_region(placeOf(i).region);
    }
    GroupView view = makeGroupView(target);
    const Instant now{std::chrono::seconds(1000)};
    for (int64_t i = 0; i < members; ++i) {
        applyReport(
            view,
            {numberedName("member", i), i == 0 ? Role::Primary : Role::Replica, {1, 1}, 1, now});
    }
    return view;
}

// Building the index of a configuration document, and its memory in total and per target.
void configurationView(benchmark::State &state)
{
    const ConfigurationDocument document = makeDocument(state.range(0));
    const size_t before = allocatedBytes();
    const auto kept = std::make_unique<ConfigurationView>(document);
    const size_t bytes = allocatedBytes() - before;
    for (auto _ : state) {
        benchmark::DoNotOptimize(ConfigurationView(document));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["bytes_per_target"] =
        static_cast<double>(bytes) / static_cast<double>(state.range(0));
}
BENCHMARK(configurationView)->RangeMultiplier(4)->Range(640, 10240)->Unit(benchmark::kMillisecond);

// Applying one change to a configuration document.
void configurationChange(benchmark::State &state)
{
    ConfigurationDocument document = makeDocument(state.range(0));
    ConfigurationChange change;
    configuration::v1::Organisation *put = change.add_operations()->mutable_put_organisation();
    put->set_name(numberedName("organisation", state.range(0) - 1));
    for (auto _ : state) {
        put->set_rate_per_second(static_cast<uint32_t>(document.revision() % 100 + 1));
        change.set_revision(document.revision() + 1);
        benchmark::DoNotOptimize(applyChange(document, change));
    }
}
BENCHMARK(configurationChange)
    ->RangeMultiplier(4)
    ->Range(640, 10240)
    ->Unit(benchmark::kMicrosecond);

// Validating a whole document, as for each change of an operator.
void configurationValidation(benchmark::State &state)
{
    const ConfigurationDocument document = makeDocument(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(validateDocument(document));
    }
}
BENCHMARK(configurationValidation)
    ->RangeMultiplier(4)
    ->Range(640, 10240)
    ->Unit(benchmark::kMillisecond);

// Looking up the organisation of a caller's key, including the computation of the digest.
void keyLookup(benchmark::State &state)
{
    const ConfigurationView view(makeDocument(state.range(0)));
    const std::string key = numberedName("key", state.range(0) / 2);
    for (auto _ : state) {
        benchmark::DoNotOptimize(view.organisationOfKey(key));
    }
}
BENCHMARK(keyLookup)->RangeMultiplier(4)->Range(640, 10240);

// Choosing the dispatcher of a group among n VMs.
void dispatcherChoice(benchmark::State &state)
{
    const VmDirectory directory = makeDirectory(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(dispatcherOf(directory, "ledger-1", "region-1"));
    }
}
BENCHMARK(dispatcherChoice)->Arg(7)->Arg(450)->Arg(1800)->Arg(7200)->Unit(benchmark::kMicrosecond);

// Copying the directory of n VMs, and its memory per VM.
void directoryCopy(benchmark::State &state)
{
    const VmDirectory directory = makeDirectory(state.range(0));
    const size_t before = allocatedBytes();
    const auto kept = std::make_unique<VmDirectory>(directory);
    const size_t bytes = allocatedBytes() - before;
    for (auto _ : state) {
        benchmark::DoNotOptimize(VmDirectory(directory));
    }
    state.counters["bytes_per_vm"] =
        static_cast<double>(bytes) / static_cast<double>(state.range(0));
}
BENCHMARK(directoryCopy)->Arg(450)->Arg(1800)->Arg(7200)->Unit(benchmark::kMicrosecond);

// Applying one member's report and publishing a copy of the group's view.
void memberReport(benchmark::State &state)
{
    GroupView view = makeGroup(3);
    Instant now{std::chrono::seconds(1000)};
    uint64_t position = 1;
    for (auto _ : state) {
        now += std::chrono::milliseconds(100);
        applyReport(view, {"member-0", Role::Primary, {1, ++position}, 1, now});
        benchmark::DoNotOptimize(std::make_shared<const GroupView>(view));
    }
}
BENCHMARK(memberReport);

// Building the views of n groups, and their memory per group.
void groupViews(benchmark::State &state)
{
    size_t bytes = 0;
    for (auto _ : state) {
        const size_t before = allocatedBytes();
        std::vector<std::shared_ptr<const GroupView>> views;
        for (int64_t i = 0; i < state.range(0); ++i) {
            views.push_back(std::make_shared<const GroupView>(makeGroup(3)));
        }
        bytes = allocatedBytes() - before;
    }
    state.counters["bytes_per_group"] =
        static_cast<double>(bytes) / static_cast<double>(state.range(0));
}
BENCHMARK(groupViews)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

// Choosing the member that serves a read.
void readChoice(benchmark::State &state)
{
    const GroupView view = makeGroup(state.range(0));
    const Instant now{std::chrono::seconds(1000)};
    const ReadRequirements requirements{{1, 1}, false, {}, {}};
    for (auto _ : state) {
        benchmark::DoNotOptimize(chooseReader(view, requirements, placeOf(1), now));
    }
}
BENCHMARK(readChoice)->Arg(3)->Arg(5)->Arg(9);

// Decoding and encoding the token of a session that wrote to n groups.
void sessionToken(benchmark::State &state)
{
    const std::string secret = "0123456789abcdef0123456789abcdef";
    Session session;
    for (int64_t i = 0; i < state.range(0); ++i) {
        recordWrite(session, numberedName("ledger", i), {1, 1000});
    }
    const std::string token = encodeSessionToken(session, secret);
    for (auto _ : state) {
        benchmark::DoNotOptimize(encodeSessionToken(*decodeSessionToken(token, secret), secret));
    }
    state.counters["bytes"] = static_cast<double>(token.size());
}
BENCHMARK(sessionToken)->Arg(1)->Arg(4)->Arg(16);

} // namespace

} // namespace gentianplank

BENCHMARK_MAIN();
