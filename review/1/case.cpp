// A key is taken away from one tenant and given to another while a session of that key has an open
// transaction, which then ends. Afterwards a client of the second tenant, whose key was never
// changed, sends single statements: members have to run them for its own tenant.

#include "world.hpp"

using namespace review;

int main(int argc, char **argv)
{
    const bool hasTrouble = troubleIsOn();
    World world(worldSettings(argc, argv));
    world.start();
    // New machines get their full shares of the rates after some seconds.
    sleepMs(8000);

    const std::string machine = "front-rs-sul-a-1";
    const auto send = [&](Session &session, const std::string &key, const std::string &text) {
        const std::string id = world.newId();
        const int64_t at = nowMs();
        const Answer answer = session.query(id, text);
        world.record.line("client with " + key + " sent " + id + " at " + std::to_string(at) +
                          ": " + text + " -> " +
                          (answer.succeeded() ? "DONE" : answer.word + " " + answer.line));
        return std::pair(id, answer);
    };

    Session mover;
    if (!mover.start(world.machines.at(machine)->ip, world.frontPort, "db1", "key-1b") ||
        !send(mover, "key-1b", "BEGIN").second.succeeded() ||
        !send(mover, "key-1b", "WRITE advance-a 100").second.succeeded()) {
        world.fail("no transaction with key-1b");
    }
    if (hasTrouble) {
        world.putConfiguration(
            {{"tenants",
              {World::tenant("t1", {"key-1"}), World::tenant("t2", {"key-2", "key-1b"})}}});
    }
    // A pause inside the transaction, below transaction-idle-ms (3,000).
    sleepMs(1500);
    send(mover, "key-1b", "COMMIT");
    mover.close();
    // The configuration has to be in force everywhere config-apply-ms (4,000) after its
    // acknowledgement.
    sleepMs(3000);

    // A client of t2 whose key has always been that of t2.
    std::set<std::string> ids;
    const int64_t from = nowMs();
    for (int i = 0; i < 40; ++i) {
        Session session;
        if (!session.start(world.machines.at(machine)->ip, world.frontPort, "db1", "key-2")) {
            continue;
        }
        const std::string item = "advance-" + std::to_string(i);
        const auto [id, answer] =
            send(session, "key-2", i % 2 == 0 ? "WRITE " + item + " 7" : "READ " + item);
        ids.insert(id);
        session.close();
        sleepMs(100);
    }

    int judged = 0;
    int foreign = 0;
    for (const Run &it : world.group.runs()) {
        if (ids.count(it.requestId) != 0) {
            ++judged;
            foreign += it.tenant != "t2" ? 1 : 0;
        }
    }
    if (judged == 0) {
        world.fail("no statement of key-2 ran");
    }
    world.end(foreign > 0, std::to_string(foreign) + " of " + std::to_string(judged) +
                               " statements of key-2, the key of t2 in every configuration, ran "
                               "for another tenant, over " +
                               std::to_string(nowMs() - from) + " ms");
}
