// Case 6: the answer to the record of a new primary is lost, and the write is performed late.
#include "world.hpp"

#include <iostream>

using namespace review;

int main(int argc, char **argv)
{
    const bool hasTrouble = argc < 3 || std::string(argv[2]) != "0";
    World world(argc > 1 ? argv[1] : "record.txt");
    std::atomic<int64_t> servingWrittenAt{0};
    const std::string row = "group/" + world.service.name();
    std::atomic<bool> isReleased{false};
    world.store.onTransaction = [&](const std::map<std::string, std::string> &writes) {
        const auto it = writes.find(row);
        if (!isReleased || servingWrittenAt != 0 || it == writes.end()) {
            return TransactionFate::Answered;
        }
        const Json record = Json::parse(it->second);
        const std::string primary = record.at("primary");
        if (record.at("changing").get<bool>() || primary == world.service.idOf(0)) {
            return TransactionFate::Answered;
        }
        // The record that names the new primary.
        servingWrittenAt = nowMs();
        const size_t member = world.service.memberOf(primary);
        std::thread([&world, member] {
            // Its slots and queue are full for some tenths of a second.
            sleepMs(1600);
            world.record.write("member " + world.service.idOf(member) + " is full for 0.7 s");
            world.service.fillUntil(member, nowMs() + 700);
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
    sleepMs(11000);
    const bool hasChanged = servingWrittenAt != 0;
    world.stop();

    const size_t broken = world.countOldPrimaryCommits();
    world.exit(!hasChanged || world.writes().empty() ? 2 : broken > 0 ? 1 : 0);
}
