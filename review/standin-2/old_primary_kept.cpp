// Case 8: the old primary is kept although another member was promoted.
#include "world.hpp"

#include <iostream>

using namespace review;

int main(int argc, char **argv)
{
    const bool hasTrouble = argc < 3 || std::string(argv[2]) != "0";
    World world(argc > 1 ? argv[1] : "record.txt");
    world.store.lateMs = 6000;
    const std::string row = "group/" + world.service.name();
    std::atomic<bool> isReleased{false};
    std::atomic<bool> isNamed{false};
    world.store.onTransaction = [&](const std::map<std::string, std::string> &writes) {
        const auto it = writes.find(row);
        if (!isReleased || isNamed || it == writes.end()) {
            return TransactionFate::Answered;
        }
        const Json record = Json::parse(it->second);
        if (record.at("changing").get<bool>()) {
            std::thread([&world, hasTrouble] {
                // The promotion has been called, and takes a second.
                sleepMs(500);
                if (hasTrouble) {
                    world.record.write("the old primary is partitioned from its replicas for 5 s");
                    world.service.isolateUntil(0, nowMs() + 5000);
                }
            }).detach();
            return TransactionFate::Answered;
        }
        // The record that names the new primary.
        isNamed = true;
        std::thread([&world] {
            sleepMs(1600);
            world.record.write("both replicas are full for 2.2 s");
            world.service.fillUntil(1, nowMs() + 2200);
            world.service.fillUntil(2, nowMs() + 2200);
        }).detach();
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
    world.stop();
    const size_t broken = world.countOldPrimaryCommits();
    world.exit(!isNamed || world.writes().empty() ? 2 : broken > 0 ? 1 : 0);
}
