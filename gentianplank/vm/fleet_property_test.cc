// Standing, acceptance and expulsion over random faults, against a plain log.
//
// The fleet below runs the daemon's decisions over a fake of the store and of the calls, on a
// virtual clock. A fault schedule drawn from a seed loses, delays and reorders messages, pauses and
// kills VMs, cuts VMs from the store and from each other, and loses the store's answers.

#include "gentianplank/configuration/change_log.h"
#include "gentianplank/standin/table_store_fake.h"
#include "gentianplank/vm/member_change.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <functional>
#include <random>
#include <set>

namespace gentianplank {

namespace {

using std::chrono::milliseconds;

constexpr Duration StoreTimeout = milliseconds(100);
constexpr Duration Tick = milliseconds(10);
constexpr Duration HeartbeatInterval = milliseconds(500);
constexpr Duration HeardWithin = milliseconds(1300);
constexpr Duration SettlingTime = std::chrono::seconds(3);
constexpr Duration FaultyTime = std::chrono::seconds(25);
constexpr Duration HealedTime = std::chrono::seconds(40);
constexpr int SeedsPerCase = 20;
constexpr size_t MostVms = 7;

struct FakeVm
{
    MembershipLease standing;
    VmInfo info;
    // Write ids of the applied changes, in order.
    std::vector<std::string> applied;
    bool alive = true;
    Duration pausedUntil{0};
    bool storeCut = false;
    int side = 0;
    double rate = 1;
    Duration offset{0};
    // The number of the process, to drop messages to an earlier one.
    uint64_t process = 0;
};

struct PendingAcceptance
{
    size_t vm = 0;
    uint64_t process = 0;
    StoredChange stored;
};

class FakeFleet
{
public:
    FakeFleet(uint64_t seed, size_t n)
        : m_random(seed)
        , m_vms(n)
    {
        for (size_t i = 0; i < n; ++i) {
            m_vms[i].info.name = "vm-" + std::to_string(i);
            m_vms[i].rate = 1.0 + (static_cast<double>(draw(101)) - 50) / 10000;
            m_vms[i].offset = std::chrono::seconds(1000 + draw(1000));
            restart(i);
        }
    }

    void run()
    {
        run(FaultyTime);
        heal();
        // Calls of the faulty time still arrive.
        run(FaultyTime + SettlingTime);
        m_mayRecover = majorityIsAlive();
        run(FaultyTime + HealedTime);
        checkHealed();
        checkLog();
    }

private:
    using Event = std::function<void()>;

    uint64_t draw(uint64_t n) { return m_random() % n; }
    bool chance(uint64_t percent) { return draw(100) < percent; }

    Instant localNow(const FakeVm &vm) const
    {
        return Instant{vm.offset} +
               Duration(static_cast<Duration::rep>(static_cast<double>(m_now.count()) * vm.rate));
    }

    void at(Duration time, Event event) { m_events.emplace(time, std::move(event)); }

    // Runs an event at a VM unless its process is gone; a paused VM runs it when it wakes.
    void atVm(Duration time, size_t i, Event event)
    {
        at(time, [this, i, process = m_vms[i].process, event = std::move(event)] {
            FakeVm &vm = m_vms[i];
            if (vm.process != process || !vm.alive) {
                return;
            }
            if (vm.pausedUntil > m_now) {
                atVm(vm.pausedUntil, i, event);
                return;
            }
            event();
            observe(i);
        });
    }

    Duration delay()
    {
        return m_healed ? milliseconds(1 + draw(20))
                        : milliseconds(1 + draw(chance(10) ? 800 : 30));
    }

    bool isLost(size_t a, size_t b)
    {
        return m_vms[a].side != m_vms[b].side || (!m_healed && chance(m_lossPercent));
    }

    void send(size_t from, size_t to, const Event &event)
    {
        if (!isLost(from, to)) {
            atVm(m_now + delay(), to, event);
        }
    }

    // Calls the store and brings the result back; either way may be lost.
    template <typename Call, typename Then>
    void callStore(size_t i, Call call, Then then)
    {
        const uint64_t process = m_vms[i].process;
        if (m_vms[i].storeCut || m_storeDown) {
            return;
        }
        at(m_now + delay(), [this, i, process, call, then] {
            auto result = call();
            if (m_vms[i].process == process && (m_healed || !chance(m_lossPercent))) {
                atVm(m_now + delay(), i, [then, result] { then(result); });
            }
        });
    }

    void restart(size_t i)
    {
        FakeVm &vm = m_vms[i];
        ++vm.process;
        vm.alive = true;
        vm.pausedUntil = Duration{0};
        vm.standing = makeMembershipLease(vm.info.name, 0);
        vm.applied.clear();
        beat(i);
    }

    void beat(size_t i)
    {
        atVm(m_now + milliseconds(draw(100)), i, [this, i] { round(i); });
    }

    void round(size_t i)
    {
        FakeVm &vm = m_vms[i];
        if (vm.standing.expelled) {
            restart(i);
            return;
        }
        for (size_t peer = 0; peer < m_vms.size(); ++peer) {
            if (peer != i) {
                heartbeat(i, peer);
            }
        }
        readStore(i);
        if (!m_healed && chance(25)) {
            submit(i, "write-" + std::to_string(m_writes++));
        }
        if (chance(m_healed ? 50 : 10)) {
            expelSomeone(i);
        }
        atVm(m_now + HeartbeatInterval + milliseconds(draw(50)), i, [this, i] { round(i); });
    }

    Instant heardSince(size_t i) const { return localNow(m_vms[i]) - HeardWithin; }

    void heartbeat(size_t i, size_t peer)
    {
        const Instant askedAt = localNow(m_vms[i]);
        const uint64_t incarnation = m_vms[i].standing.incarnation;
        send(i, peer, [this, i, peer, askedAt, incarnation] {
            const MembershipLease &other = m_vms[peer].standing;
            const Attestation attestation{
                other.incarnation, askedAt, appliedRevisions(other),
                attestsMembership(other, m_vms[i].info.name, incarnation)};
            send(peer, i, [this, i, peer, attestation] { onVoucher(i, peer, attestation); });
        });
    }

    void onVoucher(size_t i, size_t peer, const Attestation &attestation)
    {
        FakeVm &vm = m_vms[i];
        recordAttestation(vm.standing, m_vms[peer].info.name, attestation);
        if (!covers(appliedRevisions(vm.standing), attestation.reported) && chance(80)) {
            fetch(i, peer);
        }
    }

    // Fetches what the peer has applied.
    void fetch(size_t i, size_t peer)
    {
        send(i, peer, [this, i, peer] {
            const auto changes = m_vms[peer].applied;
            const VmDirectory list = m_vms[peer].standing.members;
            send(peer, i, [this, i, changes] { applyLog(i, changes); });
            send(peer, i, [this, i, list] { applyMembers(m_vms[i].standing, list); });
        });
    }

    // Applies a prefix of the log, as far as it is newer.
    void applyLog(size_t i, const std::vector<std::string> &writeIds)
    {
        FakeVm &vm = m_vms[i];
        for (size_t n = vm.applied.size(); n < writeIds.size(); ++n) {
            vm.applied.push_back(writeIds[n]);
        }
        applyConfiguration(vm.standing, vm.applied.size());
    }

    struct StoreView
    {
        StoredMembers members;
        std::vector<std::string> writeIds;
    };

    std::vector<std::string> storedWriteIds()
    {
        std::vector<std::string> writeIds;
        const auto changes = m_changes.readAfter(0, 100000, StoreTimeout);
        for (const ConfigurationChange &it : *changes) {
            RC_ASSERT(it.revision() == writeIds.size() + 1);
            writeIds.push_back(it.write_id());
        }
        return writeIds;
    }

    void readStore(size_t i)
    {
        const Instant askedAt = localNow(m_vms[i]);
        const auto read = [this] {
            return StoreView{*m_members.read(StoreTimeout), storedWriteIds()};
        };
        callStore(i, read, [this, i, askedAt](const StoreView &view) {
            MembershipLease &standing = m_vms[i].standing;
            recordStoreProof(standing, askedAt,
                             {view.members.configurationHead, view.members.list.revision});
            // The changes are a second read, which may fail.
            if (m_healed || chance(60)) {
                applyLog(i, view.writeIds);
            }
            if (m_healed || chance(60)) {
                applyMembers(standing, view.members.list);
            }
            if (standing.incarnation == 0) {
                join(i, view.members);
            }
        });
    }

    void join(size_t i, const StoredMembers &stored)
    {
        const auto next = listWithJoined(stored, m_vms[i].info,
                                         attestationsWithOwn(m_vms[i].standing, localNow(m_vms[i])),
                                         heardSince(i));
        if (!next) {
            return;
        }
        const VmInfo *self = findVm(*next, m_vms[i].info.name);
        const uint64_t incarnation = self == nullptr ? 0 : self->incarnation;
        writeList(i, stored, *next,
                  [this, i, incarnation] { startIncarnation(m_vms[i].standing, incarnation); });
    }

    void expelSomeone(size_t i)
    {
        const size_t victim = draw(m_vms.size());
        if (!isLeaseValid(m_vms[i].standing, localNow(m_vms[i])) || victim == i ||
            (m_healed && m_vms[victim].alive)) {
            return;
        }
        callStore(
            i, [this] { return *m_members.read(StoreTimeout); },
            [this, i, victim](const StoredMembers &stored) {
                const VmInfo *listed = findVm(stored.list, m_vms[victim].info.name);
                if (listed == nullptr) {
                    return;
                }
                const auto next = listWithRemoved(
                    stored, listed->name, listed->incarnation,
                    attestationsWithOwn(m_vms[i].standing, localNow(m_vms[i])), heardSince(i));
                if (next) {
                    writeList(i, stored, *next, [] {});
                }
            });
    }

    void writeList(size_t i, const StoredMembers &stored, const VmDirectory &next,
                   const Event &then)
    {
        const std::string writeId = "list-" + std::to_string(m_writes++);
        const auto write = [this, stored, next, writeId] {
            loseAnswers();
            return m_members.write(stored, next, writeId, StoreTimeout);
        };
        callStore(i, write, [then](MemberWriteOutcome outcome) {
            if (outcome == MemberWriteOutcome::Written) {
                then();
            }
        });
    }

    void loseAnswers() { m_store.loseNextAnswers(!m_healed && chance(20) ? 1 : 0); }

    void submit(size_t i, const std::string &writeId)
    {
        FakeVm &vm = m_vms[i];
        if (!isLeaseValid(vm.standing, localNow(vm))) {
            return;
        }
        ConfigurationChange change;
        change.set_revision(vm.applied.size() + 1);
        change.set_write_id(writeId);
        const auto append = [this, change] {
            loseAnswers();
            return m_changes.append(change, StoreTimeout);
        };
        callStore(i, append, [this, i, writeId](const auto &stored) {
            if (stored) {
                RC_ASSERT(storedWriteIds().at(stored->revision - 1) == writeId);
                m_pending.push_back({i, m_vms[i].process, *stored});
                spread(i, stored->revision);
            }
        });
        if (chance(20)) {
            // The operator repeats the change through another VM.
            const size_t other = draw(m_vms.size());
            atVm(m_now + milliseconds(draw(3000)), other,
                 [this, other, writeId] { submit(other, writeId); });
        }
    }

    // Pushes the stored log to every VM.
    void spread(size_t i, uint64_t revision)
    {
        auto log = storedWriteIds();
        log.resize(revision);
        applyLog(i, log);
        for (size_t peer = 0; peer < m_vms.size(); ++peer) {
            send(i, peer, [this, i, peer, log] {
                applyLog(peer, log);
                heartbeat(i, peer);
            });
        }
    }

    // Draws the next fault about every 300 ms.
    void injectFault()
    {
        const size_t i = draw(m_vms.size());
        FakeVm &vm = m_vms[i];
        switch (draw(9)) {
        case 0:
            vm.pausedUntil = m_now + milliseconds(draw(8000));
            break;
        case 1:
            vm.alive = vm.alive && chance(50);
            break;
        case 2:
            if (!vm.alive) {
                restart(i);
            }
            break;
        case 3:
            vm.storeCut = !vm.storeCut;
            break;
        case 4:
            m_storeDown = chance(30);
            break;
        case 5:
            m_lossPercent = draw(40);
            break;
        case 6:
            vm.side = static_cast<int>(draw(2));
            break;
        default:
            for (FakeVm &it : m_vms) {
                it.side = 0;
            }
        }
    }

    void heal()
    {
        m_healed = true;
        m_storeDown = false;
        for (size_t i = 0; i < m_vms.size(); ++i) {
            m_vms[i].storeCut = false;
            m_vms[i].side = 0;
            m_vms[i].pausedUntil = Duration{0};
        }
        for (size_t i = 0; i < m_vms.size(); ++i) {
            if (!m_vms[i].alive) {
                restart(i);
            }
        }
    }

    // Whether enough incarnations of the stored list run to accept the next one.
    bool majorityIsAlive()
    {
        const VmDirectory list = m_members.read(StoreTimeout)->list;
        size_t n = 0;
        for (const FakeVm &it : m_vms) {
            const bool listed = isListed(list, it.info.name, it.standing.incarnation);
            n += it.alive && listed ? 1U : 0U;
        }
        return n >= majorityOf(list);
    }

    void run(Duration until)
    {
        while (m_now < until) {
            if (!m_healed && chance(3)) {
                injectFault();
            }
            const Duration next = m_now + Tick;
            while (!m_events.empty() && m_events.begin()->first <= next) {
                auto node = m_events.extract(m_events.begin());
                m_now = std::max(m_now, node.key());
                node.mapped()();
            }
            m_now = next;
            checkStanding();
        }
    }

    // Records what a VM knows to be accepted.
    void observe(size_t i)
    {
        const MembershipLease &standing = m_vms[i].standing;
        if (standing.joined && isAppliedListAccepted(standing)) {
            m_acceptedLists.emplace(standing.members.revision, m_now);
        }
        for (const PendingAcceptance &it : m_pending) {
            if (it.vm == i && it.process == m_vms[i].process &&
                isConfigurationAccepted(standing, it.stored.revision, it.stored.membersRevision)) {
                m_acceptedChanges.emplace(it.stored.revision, m_now);
            }
        }
    }

    // Returns the newest revision accepted longer ago than it may take to be in force.
    uint64_t dueRevision(const std::map<uint64_t, Duration> &accepted) const
    {
        uint64_t due = 0;
        for (const auto &[revision, time] : accepted) {
            if (time + EnforcedAfterAcceptance < m_now) {
                due = std::max(due, revision);
            }
        }
        return due;
    }

    void checkStanding()
    {
        const uint64_t dueChange = dueRevision(m_acceptedChanges);
        const uint64_t dueList = dueRevision(m_acceptedLists);
        for (FakeVm &it : m_vms) {
            // A paused VM could wake at any moment and act.
            if (it.alive && isLeaseValid(it.standing, localNow(it))) {
                RC_ASSERT(it.standing.configuration >= dueChange);
                RC_ASSERT(it.standing.members.revision >= dueList);
                m_standingTicks += 1;
            }
        }
    }

    void checkHealed()
    {
        if (!m_mayRecover) {
            return;
        }
        const uint64_t head = m_changes.head(StoreTimeout).value();
        for (FakeVm &it : m_vms) {
            RC_ASSERT(isLeaseValid(it.standing, localNow(it)));
            RC_ASSERT(it.standing.configuration == head);
            RC_ASSERT(it.standing.members.vms.size() == m_vms.size());
        }
    }

    void checkLog()
    {
        const auto log = storedWriteIds();
        RC_ASSERT(std::set<std::string>(log.begin(), log.end()).size() == log.size());
        for (const FakeVm &it : m_vms) {
            RC_ASSERT(it.applied.size() <= log.size());
            RC_ASSERT(std::equal(it.applied.begin(), it.applied.end(), log.begin()));
        }
    }

    std::mt19937_64 m_random;
    std::vector<FakeVm> m_vms;
    TableStoreFake m_store;
    MemberLog m_members{m_store, 0};
    ChangeLog m_changes{m_store, membersKey(0)};
    std::multimap<Duration, Event> m_events;
    std::vector<PendingAcceptance> m_pending;
    std::map<uint64_t, Duration> m_acceptedChanges;
    std::map<uint64_t, Duration> m_acceptedLists;
    Duration m_now{0};
    bool m_healed = false;
    bool m_mayRecover = false;
    bool m_storeDown = false;
    uint64_t m_lossPercent = 5;
    uint64_t m_writes = 0;

public:
    uint64_t m_standingTicks = 0;
    size_t acceptedChanges() const { return m_acceptedChanges.size(); }
    size_t acceptedLists() const { return m_acceptedLists.size(); }
    bool mayRecover() const { return m_mayRecover; }
};

} // namespace

BOOST_AUTO_TEST_CASE(noVmActsOnWhatWasReplaced)
{
    uint64_t standingTicks = 0;
    size_t changes = 0;
    size_t lists = 0;
    size_t recovered = 0;
    const bool ok = rc::check("standing, acceptance and expulsion", [&] {
        const uint64_t first = *rc::gen::arbitrary<uint32_t>();
        const size_t n = *rc::gen::inRange<size_t>(1, MostVms + 1);
        for (uint64_t seed = first; seed < first + SeedsPerCase; ++seed) {
            FakeFleet fleet(seed, n);
            fleet.run();
            standingTicks += fleet.m_standingTicks;
            changes += fleet.acceptedChanges();
            lists += fleet.acceptedLists();
            recovered += fleet.mayRecover() ? 1U : 0U;
        }
    });
    BOOST_TEST(ok);
    BOOST_TEST_MESSAGE("ticks with standing " << standingTicks << ", accepted changes " << changes
                                              << ", accepted lists " << lists << ", recovered "
                                              << recovered);
    // The schedules must leave something to check.
    BOOST_TEST(changes > 1000U);
    BOOST_TEST(lists > 1000U);
    BOOST_TEST(recovered > 100U);
}

} // namespace gentianplank
