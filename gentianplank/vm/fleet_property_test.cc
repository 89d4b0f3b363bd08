// Property test of membership leases, acceptance and expulsion under random faults, compared with a
// plain log.
//
// The simulation runs the daemon's decisions over a fake store and fake calls on a virtual clock. A
// fault schedule drawn from a seed loses, delays and reorders messages, pauses and kills VMs, cuts
// VMs off from the store and from each other, and loses answers of the store.

#include "gentianplank/configuration/change_log.h"
#include "gentianplank/standin/fake_table_store.h"
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
constexpr Duration ReachableWithin = milliseconds(1300);
constexpr Duration DrainDuration = std::chrono::seconds(3);
constexpr Duration FaultPhaseEnd = std::chrono::seconds(25);
constexpr Duration RecoveryDuration = std::chrono::seconds(40);
constexpr int SeedsPerCase = 20;
constexpr size_t MaxVms = 7;

struct SimulatedVm
{
    MembershipLease lease;
    VmInfo info;
    // The write ids of the applied changes, in order.
    std::vector<std::string> applied;
    bool alive = true;
    Duration pausedUntil{0};
    bool storeUnreachable = false;
    int networkSide = 0;
    double clockRate = 1;
    Duration clockOffset{0};
    // Counts the restarts, so that messages to an earlier process are dropped.
    uint64_t process = 0;
};

struct PendingAcceptance
{
    size_t vm = 0;
    uint64_t process = 0;
    StoredChange stored;
};

class FleetSimulation
{
public:
    FleetSimulation(uint64_t seed, size_t n)
        : m_random(seed)
        , m_vms(n)
    {
        for (size_t i = 0; i < n; ++i) {
            m_vms[i].info.name = "vm-" + std::to_string(i);
            m_vms[i].clockRate = 1.0 + (static_cast<double>(draw(101)) - 50) / 10000;
            m_vms[i].clockOffset = std::chrono::seconds(1000 + draw(1000));
            restart(i);
        }
    }

    void run()
    {
        run(FaultPhaseEnd);
        heal();
        // Messages sent during the fault phase still arrive.
        run(FaultPhaseEnd + DrainDuration);
        m_canRecover = majorityIsAlive();
        run(FaultPhaseEnd + RecoveryDuration);
        checkRecovered();
        checkLog();
    }

private:
    using Event = std::function<void()>;

    uint64_t draw(uint64_t n) { return m_random() % n; }
    bool chance(uint64_t percent) { return draw(100) < percent; }

    Instant localNow(const SimulatedVm &vm) const
    {
        return Instant{vm.clockOffset} + Duration(static_cast<Duration::rep>(
                                             static_cast<double>(m_now.count()) * vm.clockRate));
    }

    void scheduleAt(Duration time, Event event) { m_events.emplace(time, std::move(event)); }

    // Schedules an event at a VM. It is dropped if the process is gone; a paused VM runs it when it
    // resumes.
    void scheduleAtVm(Duration time, size_t i, Event event)
    {
        scheduleAt(time, [this, i, process = m_vms[i].process, event = std::move(event)] {
            SimulatedVm &vm = m_vms[i];
            if (vm.process != process || !vm.alive) {
                return;
            }
            if (vm.pausedUntil > m_now) {
                scheduleAtVm(vm.pausedUntil, i, event);
                return;
            }
            event();
            recordAcceptance(i);
        });
    }

    Duration delay()
    {
        return m_healed ? milliseconds(1 + draw(20))
                        : milliseconds(1 + draw(chance(10) ? 800 : 30));
    }

    bool isLost(size_t a, size_t b)
    {
        return m_vms[a].networkSide != m_vms[b].networkSide || (!m_healed && chance(m_lossPercent));
    }

    void send(size_t from, size_t to, const Event &event)
    {
        if (!isLost(from, to)) {
            scheduleAtVm(m_now + delay(), to, event);
        }
    }

    // Calls the store and delivers the result to the VM; the request or the result may be lost.
    template <typename Call, typename Then>
    void callStore(size_t i, Call call, Then then)
    {
        const uint64_t process = m_vms[i].process;
        if (m_vms[i].storeUnreachable || m_storeDown) {
            return;
        }
        scheduleAt(m_now + delay(), [this, i, process, call, then] {
            auto result = call();
            if (m_vms[i].process == process && (m_healed || !chance(m_lossPercent))) {
                scheduleAtVm(m_now + delay(), i, [then, result] { then(result); });
            }
        });
    }

    void restart(size_t i)
    {
        SimulatedVm &vm = m_vms[i];
        ++vm.process;
        vm.alive = true;
        vm.pausedUntil = Duration{0};
        vm.lease = makeMembershipLease(vm.info.name, 0);
        vm.applied.clear();
        scheduleRound(i);
    }

    void scheduleRound(size_t i)
    {
        scheduleAtVm(m_now + milliseconds(draw(100)), i, [this, i] { runRound(i); });
    }

    void runRound(size_t i)
    {
        SimulatedVm &vm = m_vms[i];
        if (vm.lease.expelled) {
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
            tryExpelRandomVm(i);
        }
        scheduleAtVm(m_now + HeartbeatInterval + milliseconds(draw(50)), i,
                     [this, i] { runRound(i); });
    }

    Instant heardSince(size_t i) const { return localNow(m_vms[i]) - ReachableWithin; }

    void heartbeat(size_t i, size_t peer)
    {
        const Instant requestSentAt = localNow(m_vms[i]);
        const uint64_t incarnation = m_vms[i].lease.incarnation;
        send(i, peer, [this, i, peer, requestSentAt, incarnation] {
            const MembershipLease &other = m_vms[peer].lease;
            const Attestation attestation{
                other.incarnation, requestSentAt, appliedRevisions(other),
                attestsMembership(other, m_vms[i].info.name, incarnation)};
            send(peer, i, [this, i, peer, attestation] { onAttestation(i, peer, attestation); });
        });
    }

    void onAttestation(size_t i, size_t peer, const Attestation &attestation)
    {
        SimulatedVm &vm = m_vms[i];
        recordAttestation(vm.lease, m_vms[peer].info.name, attestation);
        if (!covers(appliedRevisions(vm.lease), attestation.reported) && chance(80)) {
            fetch(i, peer);
        }
    }

    // Fetches the changes and the list that the peer has applied.
    void fetch(size_t i, size_t peer)
    {
        send(i, peer, [this, i, peer] {
            const auto changes = m_vms[peer].applied;
            const VmDirectory list = m_vms[peer].lease.members;
            send(peer, i, [this, i, changes] { applyLog(i, changes); });
            send(peer, i, [this, i, list] { applyMembers(m_vms[i].lease, list); });
        });
    }

    // Applies the part of a log prefix that is newer.
    void applyLog(size_t i, const std::vector<std::string> &writeIds)
    {
        SimulatedVm &vm = m_vms[i];
        for (size_t n = vm.applied.size(); n < writeIds.size(); ++n) {
            vm.applied.push_back(writeIds[n]);
        }
        applyConfiguration(vm.lease, vm.applied.size());
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
        const Instant requestSentAt = localNow(m_vms[i]);
        const auto read = [this] {
            return StoreView{*m_members.read(StoreTimeout), storedWriteIds()};
        };
        callStore(i, read, [this, i, requestSentAt](const StoreView &view) {
            MembershipLease &lease = m_vms[i].lease;
            recordStoreProof(lease, requestSentAt,
                             {view.members.configurationHead, view.members.list.revision});
            // The changes are read separately, and that read may fail.
            if (m_healed || chance(60)) {
                applyLog(i, view.writeIds);
            }
            if (m_healed || chance(60)) {
                applyMembers(lease, view.members.list);
            }
            if (lease.incarnation == 0) {
                join(i, view.members);
            }
        });
    }

    void join(size_t i, const StoredMembers &stored)
    {
        const auto next =
            listWithJoined(stored, m_vms[i].info,
                           attestationsWithOwn(m_vms[i].lease, localNow(m_vms[i])), heardSince(i));
        if (!next) {
            return;
        }
        const VmInfo *self = findVm(*next, m_vms[i].info.name);
        const uint64_t incarnation = self == nullptr ? 0 : self->incarnation;
        writeList(i, stored, *next,
                  [this, i, incarnation] { startIncarnation(m_vms[i].lease, incarnation); });
    }

    void tryExpelRandomVm(size_t i)
    {
        const size_t victim = draw(m_vms.size());
        if (!isLeaseValid(m_vms[i].lease, localNow(m_vms[i])) || victim == i ||
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
                    attestationsWithOwn(m_vms[i].lease, localNow(m_vms[i])), heardSince(i));
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
            maybeLoseNextAnswer();
            return m_members.write(stored, next, writeId, StoreTimeout);
        };
        callStore(i, write, [then](MemberWriteOutcome outcome) {
            if (outcome == MemberWriteOutcome::Written) {
                then();
            }
        });
    }

    void maybeLoseNextAnswer() { m_store.loseNextAnswers(!m_healed && chance(20) ? 1 : 0); }

    void submit(size_t i, const std::string &writeId)
    {
        SimulatedVm &vm = m_vms[i];
        if (!isLeaseValid(vm.lease, localNow(vm))) {
            return;
        }
        ConfigurationChange change;
        change.set_revision(vm.applied.size() + 1);
        change.set_write_id(writeId);
        const auto append = [this, change] {
            maybeLoseNextAnswer();
            return m_changes.append(change, StoreTimeout);
        };
        callStore(i, append, [this, i, writeId](const auto &stored) {
            if (stored) {
                RC_ASSERT(storedWriteIds().at(stored->revision - 1) == writeId);
                m_pending.push_back({i, m_vms[i].process, *stored});
                pushLog(i, stored->revision);
            }
        });
        if (chance(20)) {
            // The operator retries the change through another VM.
            const size_t other = draw(m_vms.size());
            scheduleAtVm(m_now + milliseconds(draw(3000)), other,
                         [this, other, writeId] { submit(other, writeId); });
        }
    }

    // Sends the stored log to every VM.
    void pushLog(size_t i, uint64_t revision)
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

    // Draws and applies a fault; called about every 300 ms.
    void injectFault()
    {
        const size_t i = draw(m_vms.size());
        SimulatedVm &vm = m_vms[i];
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
            vm.storeUnreachable = !vm.storeUnreachable;
            break;
        case 4:
            m_storeDown = chance(30);
            break;
        case 5:
            m_lossPercent = draw(40);
            break;
        case 6:
            vm.networkSide = static_cast<int>(draw(2));
            break;
        default:
            for (SimulatedVm &it : m_vms) {
                it.networkSide = 0;
            }
        }
    }

    void heal()
    {
        m_healed = true;
        m_storeDown = false;
        for (size_t i = 0; i < m_vms.size(); ++i) {
            m_vms[i].storeUnreachable = false;
            m_vms[i].networkSide = 0;
            m_vms[i].pausedUntil = Duration{0};
        }
        for (size_t i = 0; i < m_vms.size(); ++i) {
            if (!m_vms[i].alive) {
                restart(i);
            }
        }
    }

    // Whether enough incarnations of the stored list are running to accept the next list.
    bool majorityIsAlive()
    {
        const VmDirectory list = m_members.read(StoreTimeout)->list;
        size_t n = 0;
        for (const SimulatedVm &it : m_vms) {
            const bool listed = isListed(list, it.info.name, it.lease.incarnation);
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
            checkLeases();
        }
    }

    // Records the revisions that a VM knows to be accepted.
    void recordAcceptance(size_t i)
    {
        const MembershipLease &lease = m_vms[i].lease;
        if (lease.joined && isAppliedListAccepted(lease)) {
            m_acceptedLists.emplace(lease.members.revision, m_now);
        }
        for (const PendingAcceptance &it : m_pending) {
            if (it.vm == i && it.process == m_vms[i].process &&
                isConfigurationAccepted(lease, it.stored.revision, it.stored.membersRevision)) {
                m_acceptedChanges.emplace(it.stored.revision, m_now);
            }
        }
    }

    // Returns the newest revision that was accepted more than EnforcedAfterAcceptance ago, so that
    // every VM with a valid lease must have applied it.
    uint64_t enforcedRevision(const std::map<uint64_t, Duration> &accepted) const
    {
        uint64_t newest = 0;
        for (const auto &[revision, time] : accepted) {
            if (time + EnforcedAfterAcceptance < m_now) {
                newest = std::max(newest, revision);
            }
        }
        return newest;
    }

    void checkLeases()
    {
        const uint64_t enforcedChange = enforcedRevision(m_acceptedChanges);
        const uint64_t enforcedList = enforcedRevision(m_acceptedLists);
        for (SimulatedVm &it : m_vms) {
            // A paused VM could resume at any moment and act on its lease.
            if (it.alive && isLeaseValid(it.lease, localNow(it))) {
                RC_ASSERT(it.lease.configuration >= enforcedChange);
                RC_ASSERT(it.lease.members.revision >= enforcedList);
                m_leaseTicks += 1;
            }
        }
    }

    void checkRecovered()
    {
        if (!m_canRecover) {
            return;
        }
        const uint64_t head = m_changes.head(StoreTimeout).value();
        for (SimulatedVm &it : m_vms) {
            RC_ASSERT(isLeaseValid(it.lease, localNow(it)));
            RC_ASSERT(it.lease.configuration == head);
            RC_ASSERT(it.lease.members.vms.size() == m_vms.size());
        }
    }

    void checkLog()
    {
        const auto log = storedWriteIds();
        RC_ASSERT(std::set<std::string>(log.begin(), log.end()).size() == log.size());
        for (const SimulatedVm &it : m_vms) {
            RC_ASSERT(it.applied.size() <= log.size());
            RC_ASSERT(std::equal(it.applied.begin(), it.applied.end(), log.begin()));
        }
    }

    std::mt19937_64 m_random;
    std::vector<SimulatedVm> m_vms;
    FakeTableStore m_store;
    MemberLog m_members{m_store, 0};
    ChangeLog m_changes{m_store, membersKey(0)};
    std::multimap<Duration, Event> m_events;
    std::vector<PendingAcceptance> m_pending;
    std::map<uint64_t, Duration> m_acceptedChanges;
    std::map<uint64_t, Duration> m_acceptedLists;
    Duration m_now{0};
    bool m_healed = false;
    bool m_canRecover = false;
    bool m_storeDown = false;
    uint64_t m_lossPercent = 5;
    uint64_t m_writes = 0;

public:
    uint64_t m_leaseTicks = 0;
    size_t acceptedChanges() const { return m_acceptedChanges.size(); }
    size_t acceptedLists() const { return m_acceptedLists.size(); }
    bool canRecover() const { return m_canRecover; }
};

} // namespace

// A VM that missed an accepted revision, because it was paused or cut off, must lose its lease
// before it can act on the revision that was replaced.
BOOST_AUTO_TEST_CASE(noVmWithValidLeaseActsOnReplacedRevision)
{
    uint64_t leaseTicks = 0;
    size_t changes = 0;
    size_t lists = 0;
    size_t recovered = 0;
    const bool ok = rc::check("membership leases, acceptance and expulsion", [&] {
        const uint64_t first = *rc::gen::arbitrary<uint32_t>();
        const size_t n = *rc::gen::inRange<size_t>(1, MaxVms + 1);
        for (uint64_t seed = first; seed < first + SeedsPerCase; ++seed) {
            FleetSimulation fleet(seed, n);
            fleet.run();
            leaseTicks += fleet.m_leaseTicks;
            changes += fleet.acceptedChanges();
            lists += fleet.acceptedLists();
            recovered += fleet.canRecover() ? 1U : 0U;
        }
    });
    BOOST_TEST(ok);
    BOOST_TEST_MESSAGE("ticks with a valid lease " << leaseTicks << ", accepted changes " << changes
                                                   << ", accepted lists " << lists << ", recovered "
                                                   << recovered);
    // Ensures that the fault schedules still leave enough to check.
    BOOST_TEST(changes > 1000U);
    BOOST_TEST(lists > 1000U);
    BOOST_TEST(recovered > 100U);
}

} // namespace gentianplank
