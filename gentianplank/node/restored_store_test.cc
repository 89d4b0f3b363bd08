// End-to-end tests of a store that returns from an older copy: rows written since are gone, and
// their versions are assigned again.
#include "gentianplank/node/testing/entry_fixture.h"

#include <set>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

struct RestoredFixture : EntryFixture
{
    RestoredFixture()
    {
        awaitService(first->callerAddress());
        awaitService(second->callerAddress());
    }

    // Uses up versions of the store.
    void writeUnrelatedRows(int count)
    {
        for (int i = 0; i < count; ++i) {
            store.put("unrelated", "row", std::to_string(i));
        }
    }

    // Whether the VM's answer to a session with the key starts with `answer` within three seconds.
    static bool isAnsweredSoon(const Vm &vm, const std::string &key, const std::string &answer)
    {
        const auto end = std::chrono::steady_clock::now() + 3s;
        while (std::chrono::steady_clock::now() < end) {
            if (Caller(vm.callerAddress()).firstLine("START ledger " + key).starts_with(answer)) {
                return true;
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }
    static bool isKeyAcceptedSoon(const Vm &vm, const std::string &key)
    {
        return isAnsweredSoon(vm, key, "READY");
    }
    static bool isKeyRefusedSoon(const Vm &vm, const std::string &key)
    {
        return isAnsweredSoon(vm, key, "ERROR NOAUTH");
    }

    std::string storedPrimary() const { return storedRecord().primary; }

    // Whether the stored record names the primary within the time for which VMs may go on using it.
    bool isStoredPrimarySoon(const std::string &member) const
    {
        const auto end = std::chrono::steady_clock::now() + PrimaryLeaseDuration;
        while (storedPrimary() != member && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(20ms);
        }
        return storedPrimary() == member;
    }

    void crashPrimary() { group.crash(indexOf(storedPrimary())); }
};

} // namespace

// VMs discarded every later configuration, since its row had a lower version than the lost one.
BOOST_FIXTURE_TEST_CASE(configurationWrittenAfterReturnComesIntoForce, RestoredFixture)
{
    const HttpTableStore::Copy copy = store.copy();
    writeUnrelatedRows(20);
    store.put("op", "config", configuration(2, R"("k1","k2","k3")"));
    BOOST_TEST(isKeyAcceptedSoon(*first, "k3"));
    BOOST_TEST(isKeyAcceptedSoon(*second, "k3"));
    store.restore(copy);
    store.put("op", "config", configuration(2, R"("k1","k2","k3")"));
    std::this_thread::sleep_for(500ms);
    store.put("op", "config", configuration(3, R"("k1")"));
    BOOST_TEST(isKeyRefusedSoon(*first, "k2"));
    BOOST_TEST(isKeyRefusedSoon(*second, "k2"));
}

// A feed was continued from a version that had been assigned again, so that VMs never read what was
// written below it.
BOOST_FIXTURE_TEST_CASE(configurationWrittenBelowFollowedVersionComesIntoForce, RestoredFixture)
{
    const HttpTableStore::Copy copy = store.copy();
    writeUnrelatedRows(20);
    std::this_thread::sleep_for(200ms);
    store.setFault(HttpTableStore::Fault::Busy);
    store.restore(copy);
    store.put("op", "config", configuration(2, R"("k1")"));
    writeUnrelatedRows(40);
    store.setFault(HttpTableStore::Fault::None);
    BOOST_TEST(isKeyRefusedSoon(*first, "k2"));
    BOOST_TEST(isKeyRefusedSoon(*second, "k2"));
}

// The group had no primary any more: promotions were conditional on the lost row of its record.
BOOST_FIXTURE_TEST_CASE(primaryIsReplacedAfterItsRecordWasLost, RestoredFixture)
{
    const HttpTableStore::Copy copy = store.copy();
    writeUnrelatedRows(20);
    crashPrimary();
    BOOST_TEST(isWriteServed(*second, "a", 5s));
    const std::string promoted = storedPrimary();
    store.restore(copy);
    BOOST_TEST(storedPrimary() != promoted);
    BOOST_TEST(isWriteServed(*first, "b", 2s));
    // The VMs wrote the lost record again.
    BOOST_TEST(isStoredPrimarySoon(promoted));
    crashPrimary();
    BOOST_TEST(isWriteServed(*second, "c", 5s));
    BOOST_TEST(isWriteServed(*first, "d", 1s));
}

// The duty's row was back at an earlier holder and version, so that a later token was lower.
BOOST_FIXTURE_TEST_CASE(fencingTokensIncreaseAcrossReturn, RestoredFixture)
{
    const HttpTableStore::Copy copy = store.copy();
    writeUnrelatedRows(20);
    const auto duty = decodeDutyRecord(store.get(FleetTable, PromotionDutyKey)->first);
    BOOST_REQUIRE(duty);
    auto &holder = duty->holder == "vm-1" ? first : second;
    const auto &other = duty->holder == "vm-1" ? second : first;
    holder = nullptr;
    std::this_thread::sleep_for(3s);
    crashPrimary();
    BOOST_TEST(isWriteServed(*other, "a", 6s));
    const std::string promoted = storedPrimary();
    store.restore(copy);
    BOOST_TEST(isStoredPrimarySoon(promoted));
    crashPrimary();
    BOOST_TEST(isWriteServed(*other, "b", 6s));
    const auto tokens = store.fencingTokens();
    BOOST_REQUIRE(tokens.size() >= 2U);
    BOOST_TEST(std::is_sorted(tokens.begin(), tokens.end()));
    BOOST_TEST(tokens.front() < tokens.back());
}

// A process without memory took the primary that the copy names, although it had been replaced.
BOOST_FIXTURE_TEST_CASE(restartedVmsDoNotTrustPrimaryOfCopy, RestoredFixture)
{
    const HttpTableStore::Copy copy = store.copy();
    writeUnrelatedRows(20);
    first = nullptr;
    second = nullptr;
    group.promote(1);
    store.restore(copy);
    BOOST_TEST(storedPrimary() == "g-0");
    const size_t before = group.runs().size();
    first = std::make_unique<Vm>("vm-1", "a", store);
    second = std::make_unique<Vm>("vm-2", "b", store);
    BOOST_TEST(isWriteServed(*first, "a", 6s));
    BOOST_TEST(storedPrimary() == "g-1");
    const auto runs = group.runs();
    for (size_t i = before; i < runs.size(); ++i) {
        BOOST_TEST(runs[i].member == 1U);
    }
    BOOST_TEST(store.fencingTokens().empty());
}

// A promotion that was sent before the return takes effect after it. Until then the members confirm
// the primary of the copy.
BOOST_FIXTURE_TEST_CASE(restartedVmsWaitForPromotionOfEarlierEra, RestoredFixture)
{
    const HttpTableStore::Copy copy = store.copy();
    writeUnrelatedRows(20);
    first = nullptr;
    second = nullptr;
    store.restore(copy);
    const size_t before = group.runs().size();
    first = std::make_unique<Vm>("vm-1", "a", store);
    second = std::make_unique<Vm>("vm-2", "b", store);
    BOOST_TEST(!isWriteServed(*first, "a", 1s));
    group.promote(1);
    BOOST_TEST(isWriteServed(*second, "b", 6s));
    const auto runs = group.runs();
    for (size_t i = before; i < runs.size(); ++i) {
        BOOST_TEST(runs[i].member == 1U);
    }
}

// A withdrawn key was in the copy. Reading the copy proves nothing while it is older than what is
// in force.
BOOST_FIXTURE_TEST_CASE(olderConfigurationOfCopyIsNeitherUsedNorProven, RestoredFixture)
{
    const HttpTableStore::Copy copy = store.copy();
    writeUnrelatedRows(20);
    store.put("op", "config", configuration(2, R"("k1")"));
    BOOST_TEST(isKeyRefusedSoon(*first, "k2"));
    BOOST_TEST(isKeyRefusedSoon(*second, "k2"));
    store.restore(copy);
    const auto end = std::chrono::steady_clock::now() + 5500ms;
    while (std::chrono::steady_clock::now() < end) {
        for (const auto *vm : {first.get(), second.get()}) {
            const std::string answer = Caller(vm->callerAddress()).firstLine("START ledger k2");
            BOOST_TEST(answer.starts_with("ERROR"));
        }
        std::this_thread::sleep_for(100ms);
    }
    BOOST_TEST(
        Caller(first->callerAddress()).firstLine("START ledger k1").starts_with("ERROR BUSY"));
    store.put("op", "config", configuration(2, R"("k1")"));
    BOOST_TEST(isKeyAcceptedSoon(*first, "k1"));
    BOOST_TEST(isKeyAcceptedSoon(*second, "k1"));
    BOOST_TEST(isKeyRefusedSoon(*first, "k2"));
}

// A process without memory let a key in that had been withdrawn, since the copy still had it.
BOOST_FIXTURE_TEST_CASE(restartedVmDoesNotTrustConfigurationOfCopy, RestoredFixture)
{
    const HttpTableStore::Copy copy = store.copy();
    writeUnrelatedRows(20);
    store.put("op", "config", configuration(2, R"("k1")"));
    BOOST_TEST(isKeyRefusedSoon(*first, "k2"));
    BOOST_TEST(isKeyRefusedSoon(*second, "k2"));
    const auto duty = decodeDutyRecord(store.get(FleetTable, PromotionDutyKey)->first);
    BOOST_REQUIRE(duty);
    const bool isFirstRestarted = duty->holder != "vm-1";
    (isFirstRestarted ? first : second) = nullptr;
    store.restore(copy);
    std::this_thread::sleep_for(1s);
    auto &restarted = isFirstRestarted ? first : second;
    restarted = isFirstRestarted ? std::make_unique<Vm>("vm-1", "a", store)
                                 : std::make_unique<Vm>("vm-2", "b", store);
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(
            Caller(restarted->callerAddress()).firstLine("START ledger k2").starts_with("ERROR"));
        std::this_thread::sleep_for(100ms);
    }
    store.put("op", "config", configuration(2, R"("k1")"));
    BOOST_TEST(isKeyAcceptedSoon(*restarted, "k1"));
    BOOST_TEST(isKeyRefusedSoon(*restarted, "k2"));
}

// A member that was leaving is ready again in the copy.
BOOST_FIXTURE_TEST_CASE(leavingMemberGetsNoNewStatementsAfterReturn, RestoredFixture)
{
    // Returns the members that execute a few reads.
    const auto readingMembers = [this] {
        const size_t before = group.runs().size();
        Caller caller(first->callerAddress());
        caller.firstLine("START ledger k1");
        for (int i = 0; i < 30; ++i) {
            caller.firstLine("QUERY q" + std::to_string(i) + " READ warm");
        }
        std::set<size_t> result;
        const auto runs = group.runs();
        for (size_t i = before; i < runs.size(); ++i) {
            result.insert(runs[i].member);
        }
        return result;
    };
    const std::set<size_t> used = readingMembers();
    BOOST_REQUIRE(!used.empty());
    const size_t replica = *used.rbegin();
    BOOST_REQUIRE(replica != 0U);
    const HttpTableStore::Copy copy = store.copy();
    writeUnrelatedRows(20);
    std::string document = group.discoveryDocument(replica);
    document.replace(document.find("\"ready\""), 7, "\"draining\"");
    store.put("servers", "g-" + std::to_string(replica), document);
    std::this_thread::sleep_for(500ms);
    BOOST_TEST(readingMembers().count(replica) == 0U);
    store.restore(copy);
    std::this_thread::sleep_for(500ms);
    BOOST_TEST(readingMembers().count(replica) == 0U);
    BOOST_TEST(!readingMembers().empty());
}

// The rows that VMs had written since the copy were gone, or were those of their earlier processes.
BOOST_FIXTURE_TEST_CASE(vmsWriteTheirLostRowsAgain, RestoredFixture)
{
    const auto incarnationOf = [this](const std::string &name) {
        const auto stored = store.get(FleetTable, "vm/" + name);
        return stored ? decodeVmRecord(stored->first).value_or(VmRecord{}).incarnation : 0;
    };
    // For as long as other VMs keep a VM whose row was lost.
    const auto hasRowSoon = [&](const std::string &name, const auto &isExpected) {
        const auto end = std::chrono::steady_clock::now() + 4s;
        while (!isExpected(incarnationOf(name)) && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(20ms);
        }
        return isExpected(incarnationOf(name));
    };
    store.setFault(HttpTableStore::Fault::Busy);
    store.erase(FleetTable, "vm/vm-2");
    const HttpTableStore::Copy copy = store.copy();
    const uint64_t copied = incarnationOf("vm-1");
    store.setFault(HttpTableStore::Fault::None);
    first = nullptr;
    first = std::make_unique<Vm>("vm-1", "a", store);
    BOOST_REQUIRE(hasRowSoon("vm-1", [&](uint64_t it) { return it != copied; }));
    BOOST_REQUIRE(hasRowSoon("vm-2", [](uint64_t it) { return it != 0; }));
    const uint64_t ofFirst = incarnationOf("vm-1");
    const uint64_t ofSecond = incarnationOf("vm-2");
    store.restore(copy);
    BOOST_TEST(incarnationOf("vm-1") != ofFirst);
    BOOST_TEST(incarnationOf("vm-2") == 0U);
    BOOST_TEST(hasRowSoon("vm-1", [&](uint64_t it) { return it == ofFirst; }));
    BOOST_TEST(hasRowSoon("vm-2", [&](uint64_t it) { return it == ofSecond; }));
}

// VMs that had once waited for the duty counted its next vacancy from that time, and claimed it all
// at once.
BOOST_FIXTURE_TEST_CASE(formerHolderTakesDutyAgainBeforeOthers, RestoredFixture)
{
    const auto holder = [this] {
        return decodeDutyRecord(store.get(FleetTable, PromotionDutyKey)->first)->holder;
    };
    std::vector<std::unique_ptr<Vm>> others;
    for (const char *name : {"vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8"}) {
        others.push_back(std::make_unique<Vm>(name, "a", store));
    }
    for (const auto &it : others) {
        awaitService(it->callerAddress());
    }
    (holder() == "vm-1" ? first : second)->leave();
    std::this_thread::sleep_for(4s);
    for (int i = 0; i < 4; ++i) {
        const std::string formerHolder = holder();
        const HttpTableStore::Copy copy = store.copy();
        writeUnrelatedRows(20);
        store.restore(copy);
        std::this_thread::sleep_for(1s);
        BOOST_TEST(holder() == formerHolder);
    }
}
