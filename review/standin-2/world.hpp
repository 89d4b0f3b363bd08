// Stand-ins for the cases of the second review: the platform's table store and promotion call over
// HTTP, one service of three members, and clients that write. Also starts and ends the project's
// own programs. One process, a thread for each connection, loopback addresses only.
//
//     World world("review/6/record.txt");
//     world.startEntries(2);
//     world.startWriters(3);
#pragma once

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;

// Milliseconds of the steady clock since the process began.
int64_t nowMs();
void sleepMs(int64_t ms);

// A connected socket that is read line by line. Closed with its owner.
class Stream
{
public:
    explicit Stream(int fd)
        : m_fd(fd)
    {}
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    // Without the line end; nothing at the end of the connection.
    std::optional<std::string> line();
    std::optional<std::string> bytes(size_t count);
    bool send(const std::string &text) const;
    // Ends reads and writes of all threads on this connection.
    void end() const;

private:
    bool fill();

    int m_fd;
    std::string m_buffer;
};

// Connects to a port of 127.0.0.1; null if that fails.
std::shared_ptr<Stream> connectTo(int port);

// Accepts connections on a free port of 127.0.0.1, each served by a thread of its own.
int listenOn(std::function<void(std::shared_ptr<Stream>)> serve);
int freePort();

// What was sent, answered and run, with times.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void write(const std::string &what);

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

// What the store does with a transaction.
enum class TransactionFate {
    Answered,
    // Not answered, and performed `lateMs` later if its conditions still hold.
    LostAndLate,
};

struct StoreRow
{
    // In base64, as on the wire.
    std::string value;
    uint64_t version = 0;
};

// The platform's table store, with empty parts only.
class Store
{
public:
    explicit Store(Record &record);

    int port() const { return m_port; }
    // The operator's and the members' writes.
    void put(const std::string &table, const std::string &key, const std::string &text);
    void erase(const std::string &table, const std::string &key);
    // Called with each transaction before it is performed, with the texts that it writes by key.
    std::function<TransactionFate(const std::map<std::string, std::string> &writes)> onTransaction;
    int64_t lateMs = 2500;

private:
    struct Change
    {
        uint64_t version = 0;
        std::string table;
        std::string key;
        std::string value;
        bool isErased = false;
    };
    void serve(const std::shared_ptr<Stream> &stream);
    Json rowJson(const Change &change) const;
    Json envelope() const;
    std::pair<int, Json> transact(const Json &body);
    std::pair<int, Json> readRange(const std::map<std::string, std::string> &query);
    std::pair<int, Json> feed(const std::map<std::string, std::string> &query);
    bool apply(const Json &body, Json *current);

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    uint64_t m_version = 1;
    std::map<std::string, std::map<std::string, StoreRow>> m_tables;
    std::vector<Change> m_history;
    int m_port = 0;
};

struct Commit
{
    // Of the write, and of the COMMIT if it ran in a transaction.
    std::string id;
    std::string commitId;
    std::string item;
    std::string data;
    size_t member = 0;
    uint64_t term = 0;
    uint64_t number = 0;
    int64_t atMs = 0;
};

struct Promotion
{
    size_t member = 0;
    uint64_t token = 0;
    std::string holder;
    int64_t calledAtMs = 0;
    // 0 until it has taken effect.
    int64_t effectiveAtMs = 0;
    uint64_t term = 0;
};

// One service with three members; the first is primary at the start.
class Service
{
public:
    Service(Store &store, Record &record, std::string name);

    const std::string &name() const { return m_name; }
    std::string idOf(size_t member) const { return m_name + "-" + std::to_string(member); }
    // Performs POST /promotion.
    int promote(const std::string &id, const std::string &holder, uint64_t token);
    // A planned shutdown: the member reports `draining` and goes on serving.
    void drain(size_t member);
    // Until that time all slots and the queue of the member are taken.
    void fillUntil(size_t member, int64_t untilMs);
    // Until that time the member and the other members can't reach each other.
    void isolateUntil(size_t member, int64_t untilMs);
    // Puts the member into the other region: each of its answers takes that much longer.
    void moveAway(size_t member, int64_t roundTripMs);
    size_t primary() const;
    std::vector<Commit> commits() const;
    std::vector<Promotion> promotions() const;
    size_t memberOf(const std::string &id) const;

    int64_t promoteMs = 1000;
    int64_t workMs = 8;
    // For explorations: what else happens to a client's statement.
    std::function<int64_t(const std::string &id)> extraWorkMs;
    // 1: the answer is lost, 2: it is cut off, 3: BUSY.
    std::function<int(const std::string &id)> mishap;

private:
    struct Member
    {
        int port = 0;
        bool isPrimary = false;
        bool isDraining = false;
        uint64_t term = 1;
        std::vector<Commit> log;
        uint32_t busy = 0;
        uint32_t waiting = 0;
        uint32_t connections = 0;
        int64_t fullUntilMs = 0;
        int64_t isolatedUntilMs = 0;
        int64_t roundTripMs = 0;
        std::string zone = "rs-sul-a";
        // When it can first reach a primary of a later term.
        int64_t deposedAtMs = 0;
        uint64_t sequence = 0;
        int64_t reportedAtMs = 0;
    };
    struct Session
    {
        size_t member = 0;
        std::string tenant;
        char state = 'I';
        bool isReadOnly = false;
        struct Write
        {
            std::string id;
            std::string item;
            std::string data;
        };
        std::vector<Write> writes;
        std::vector<std::string> statements;
        std::map<std::string, std::pair<bool, std::string>> prepared;
    };
    void serve(size_t member, const std::shared_ptr<Stream> &stream);
    std::string run(Session &session, const std::string &id, std::string text);
    std::string perform(Session &session, const std::string &id,
                        const std::vector<std::string> &words);
    // Takes a slot for the time of work; false if slots and queue are full.
    bool work(std::unique_lock<std::mutex> &lock, Member &member);
    std::string commit(Session &session, const std::string &id);
    std::string ready(const Session &session) const;
    void report(size_t member);
    bool canReach(size_t member, size_t other) const;
    void tick();

    Store &m_store;
    Record &m_record;
    std::string m_name;
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    std::vector<Member> m_members;
    std::vector<Commit> m_commits;
    std::vector<Promotion> m_promotions;
};

// A write as its client saw it.
struct ClientWrite
{
    std::string id;
    std::string item;
    std::string data;
    int64_t sentAtMs = 0;
    int64_t answeredAtMs = 0;
    // "DONE SIGNATURE", "ERROR CODE ..." or empty if the connection ended.
    std::string answer;
    bool isAcknowledged() const { return answer.starts_with("DONE "); }
};

// A session with an entry process.
class Client
{
public:
    // Null if the session is refused.
    static std::unique_ptr<Client> open(int port, const std::string &database,
                                        const std::string &key);
    // Sends a statement; returns the lines before READY, the last one DONE or ERROR, or none if the
    // connection ended.
    std::vector<std::string> query(const std::string &id, const std::string &text);
    char state() const { return m_state; }

private:
    explicit Client(std::shared_ptr<Stream> stream)
        : m_stream(std::move(stream))
    {}
    std::shared_ptr<Stream> m_stream;
    char m_state = 'I';
};

// A process of the project.
struct Entry
{
    std::string name;
    int clientPort = 0;
    int readyPort = 0;
    int peerPort = 0;
    int metricsPort = 0;
    std::string settingsFile;
    pid_t pid = 0;
};

class World
{
public:
    explicit World(const std::string &recordFile);

    // Starts the processes with the command of the deploy file and waits until they are ready.
    // Returns false if they don't become so.
    bool startEntries(size_t count);
    bool isReady(const Entry &entry) const;
    void start(Entry &entry);
    // Clients that write one item after another through all entries until stop().
    void startWriters(size_t perEntry, const std::string &database);
    void stop();
    // Ends the programs, removes the temporary folder and ends this process.
    [[noreturn]] void exit(int status);
    std::vector<ClientWrite> writes();
    // The check of ONE; also writes what it finds.
    size_t countOldPrimaryCommits();
    void putConfiguration(uint64_t version, const Json &tenants);

    Record record;
    Store store;
    Service service;
    std::vector<Entry> entries;

private:
    void writer(size_t entry, size_t number, const std::string &database);

    std::string m_folder;
    std::atomic<bool> m_isStopping{false};
    std::vector<std::thread> m_writers;
    std::mutex m_mutex;
    std::vector<ClientWrite> m_writes;
    int m_promotionPort = 0;
};

std::vector<std::string> wordsOf(const std::string &text);
std::string decodeBase64(const std::string &text);
std::string encodeBase64(const std::string &text);

} // namespace review
