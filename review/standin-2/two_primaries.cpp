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

    // ONE: a write is committed at an old primary after a promote of another member has taken
    // effect, and acknowledged to its client.
    std::map<std::string, ClientWrite> acknowledged;
    for (const ClientWrite &it : world.writes()) {
        if (it.isAcknowledged()) {
            acknowledged[it.id] = it;
        }
    }
    size_t broken = 0;
    for (const Commit &commit : world.service.commits()) {
        for (const Promotion &it : world.service.promotions()) {
            const bool isOld = it.effectiveAtMs != 0 && it.member != commit.member &&
                               it.term > commit.term && commit.atMs > it.effectiveAtMs;
            if (isOld && acknowledged.count(commit.id) != 0) {
                ++broken;
                world.record.write(
                    "ONE broken: " + commit.id + " committed at " +
                    world.service.idOf(commit.member) + " in term " + std::to_string(commit.term) +
                    " at " + std::to_string(commit.atMs) + " ms, after " +
                    world.service.idOf(it.member) + " led term " + std::to_string(it.term) +
                    " from " + std::to_string(it.effectiveAtMs) + " ms; acknowledged at " +
                    std::to_string(acknowledged[commit.id].answeredAtMs) + " ms");
                break;
            }
        }
    }
    const std::string summary = std::to_string(acknowledged.size()) + " writes acknowledged, " +
                                std::to_string(world.service.promotions().size()) +
                                " promotions, " + std::to_string(broken) +
                                " writes acknowledged that an old primary committed";
    world.record.write(summary);
    std::cout << summary << '\n';
    world.exit(!hasChanged || acknowledged.empty() ? 2 : broken > 0 ? 1 : 0);
}
