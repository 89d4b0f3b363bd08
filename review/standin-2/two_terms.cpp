// Case 7: of two members that lead, the one of the older term is taken.
#include "world.hpp"

#include <iostream>

using namespace review;

int main(int argc, char **argv)
{
    const bool hasTrouble = argc < 3 || std::string(argv[2]) != "0";
    World world(argc > 1 ? argv[1] : "record.txt");
    world.store.lateMs = 6000;
    // One replica stands in the other region.
    world.service.moveAway(1, 40);
    const std::string row = "group/" + world.service.name();
    std::atomic<bool> isReleased{false};
    std::atomic<int> lost{0};
    std::string promoted;
    world.store.onTransaction = [&](const std::map<std::string, std::string> &writes) {
        const auto it = writes.find(row);
        if (!isReleased || lost >= 2 || it == writes.end()) {
            return TransactionFate::Answered;
        }
        const Json record = Json::parse(it->second);
        const std::string primary = record.at("primary");
        const bool namesPromoted = !record.at("changing").get<bool>() &&
                                   primary != world.service.idOf(0) && primary != promoted;
        if (!namesPromoted) {
            return TransactionFate::Answered;
        }
        ++lost;
        if (promoted.empty()) {
            promoted = primary;
            const size_t member = world.service.memberOf(primary);
            std::thread([&world, member, hasTrouble] {
                sleepMs(1000);
                if (hasTrouble) {
                    world.record.write("member " + world.service.idOf(member) +
                                       " is partitioned from the other members for 5 s");
                    world.service.isolateUntil(member, nowMs() + 5000);
                }
                sleepMs(600);
                world.record.write("member " + world.service.idOf(member) + " is full for 0.7 s");
                world.service.fillUntil(member, nowMs() + 700);
            }).detach();
        }
        return hasTrouble ? TransactionFate::LostAndLate : TransactionFate::Answered;
    };
    if (!world.startEntries(3)) {
        std::cerr << "the entry processes did not become ready\n";
        world.exit(2);
    }
    // Traffic starts 10 s after the machines do.
    sleepMs(10000);
    world.startWriters(3, "lepu270");
    sleepMs(3000);
    isReleased = true;
    world.service.drain(0);
    sleepMs(13000);
    const bool hasChanged = lost > 0;
    world.stop();
    const size_t broken = world.countOldPrimaryCommits();
    world.exit(!hasChanged || world.writes().empty() ? 2 : broken > 0 ? 1 : 0);
}
