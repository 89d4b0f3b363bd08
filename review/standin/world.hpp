// The platform, one service and the machines of a script. Machines run the program of the deploy
// file as separate processes; each has a loopback address of its own, so that the ports are the
// same on all.
#pragma once

#include "group.hpp"
#include "net.hpp"
#include "store.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <random>
#include <set>
#include <vector>

namespace review {

// A machine of the system: one process of the project's own program.
struct Machine
{
    std::string name;
    std::string zone;
    std::string ip;
    pid_t pid = -1;
    // The machine's own way to the store.
    std::unique_ptr<Listener> storeWay;
};

struct Answer
{
    // DONE, the code of an ERROR, or "broken".
    std::string word;
    std::string rows;
    std::string line;
    bool succeeded() const { return word == "DONE"; }
};

// A client's session.
class Session
{
public:
    bool start(const std::string &ip, uint16_t port, const std::string &database,
               const std::string &key)
    {
        m_socket = Socket::connect(ip, port);
        if (!m_socket || !m_socket->send("START " + database + " " + key + "\r\n")) {
            return false;
        }
        const auto line = m_socket->readLine(2000);
        if (!line || line->rfind("READY", 0) != 0) {
            m_socket = nullptr;
            return false;
        }
        return true;
    }

    bool isOpen() const { return m_socket != nullptr; }

    Answer query(const std::string &id, const std::string &text, int timeoutMs = 4000)
    {
        Answer answer;
        answer.word = "broken";
        if (!m_socket || !m_socket->send("QUERY " + id + " " + text + "\r\n")) {
            m_socket = nullptr;
            return answer;
        }
        std::string last;
        while (const auto line = m_socket->readLine(timeoutMs)) {
            if (line->rfind("READY", 0) == 0) {
                answer.word = last;
                return answer;
            }
            if (line->rfind("ROW ", 0) == 0) {
                answer.rows += line->substr(4) + "\n";
            } else if (line->rfind("DONE", 0) == 0) {
                last = "DONE";
            } else if (line->rfind("ERROR ", 0) == 0) {
                last = line->substr(6, line->find(' ', 6) - 6);
                answer.line = *line;
            }
        }
        m_socket = nullptr;
        return answer;
    }

    void close() { m_socket = nullptr; }

private:
    std::shared_ptr<Socket> m_socket;
};

// All of it together: the platform, one group, the machines and their clients.
class World
{
public:
    struct Settings
    {
        // The folder of the case, for record.txt, and a temporary one.
        std::string folder;
        std::string temporary;
        std::string program;
        // The machines as pairs of zone and number.
        std::vector<std::pair<std::string, int>> zones;
        std::map<std::string, std::string> regions;
        int64_t promoteMs = 1000;
    };

    explicit World(Settings settings)
        : m_settings(std::move(settings))
        , record(m_settings.folder + "/record.txt")
        , group({"g1", 34, 8, 8, m_settings.promoteMs}, record)
    {
        std::random_device device;
        m_net = "127." + std::to_string(20 + device() % 200) + "." +
                std::to_string(device() % 250) + ".";
        group.onReport = [this](const std::string &id) { report(id); };
        cloud = std::make_unique<Listener>(
            m_net + "2", 0, [this](const std::shared_ptr<Socket> &socket) { serveCloud(*socket); },
            8);
    }

    ~World() { endAll(); }

    std::string address(int n) const { return m_net + std::to_string(n); }

    void report(const std::string &id)
    {
        if (group.isUp(id)) {
            store.put("servers", id, group.entry(id));
        }
    }

    static Json tenant(const std::string &name, const std::vector<std::string> &keys)
    {
        return {{"name", name},
                {"api-keys", keys},
                {"priority", 1},
                {"rate-per-s", 300},
                {"burst-size", 300}};
    }

    static Json route(const std::string &name, const std::string &host, const std::string &kind,
                      int timeoutMs, int objectiveMs, int priority)
    {
        Json json{{"name", name},
                  {"host", host},
                  {"path-prefix", "/"},
                  {"route-kind", kind},
                  {"timeout-ms", timeoutMs},
                  {"target-latency-ms", objectiveMs},
                  {"priority", priority},
                  {"service", "g1"},
                  {"max-attempts", 2},
                  {"public", false}};
        if (kind != "primary") {
            json["max-staleness-ms"] = kind == "read_your_writes" ? 2500 : 1500;
        }
        return json;
    }

    // Writes the next version; the store's answer acknowledges it.
    void putConfiguration(const Json &extra = Json::object())
    {
        Json configuration{
            {"version", ++m_configVersion},
            {"routes",
             {route("r-1", "db1", "primary", 1000, 600, 1),
              route("r-2", "db2", "read_your_writes", 1000, 1000, 2),
              route("r-3", "db3", "bounded_staleness", 2000, 1200, 2)}},
            {"services",
             {{{"name", "g1"},
               {"health-path", "/health"},
               {"connection-limit", 34},
               {"protocol", "h1"},
               {"tls", false},
               {"sync-replicas", 0}}}},
            {"tenants", {tenant("t1", {"key-1", "key-1b"}), tenant("t2", {"key-2"})}},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 262144},
              {"header-timeout-ms", 3000},
              {"idle-timeout-ms", 15000},
              {"transaction-idle-ms", 3000}}}};
        configuration.update(extra);
        store.put("op", "config", configuration);
        record.line("operator: the store has acknowledged version " +
                    std::to_string(m_configVersion) + " of the configuration");
    }

    // Adds the members of the group, starts the machines and waits until all are ready.
    void start()
    {
        int n = 100;
        for (const auto &[zone, count] : m_settings.zones) {
            group.add("i-" + std::to_string(n), zone, address(n), n == 100);
            ++n;
        }
        for (const std::string &id : group.ids()) {
            report(id);
        }
        putConfiguration();
        int ip = 10;
        for (const auto &[zone, count] : m_settings.zones) {
            for (int i = 1; i <= count; ++i) {
                auto machine = std::make_unique<Machine>();
                machine->name = "front-" + zone + "-" + std::to_string(i);
                machine->zone = zone;
                machine->ip = address(ip++);
                const std::string name = machine->name;
                machine->storeWay = std::make_unique<Listener>(
                    address(3), 0, [this, name](const std::shared_ptr<Socket> &socket) {
                        serveHttp(*socket, [this, &name](const HttpRequest &request) {
                            return store.handle(request);
                        });
                    });
                machines[name] = std::move(machine);
            }
        }
        for (const auto &[name, machine] : machines) {
            launch(*machine);
        }
        for (const auto &[name, machine] : machines) {
            if (!awaitReady(*machine, 20000)) {
                fail("machine " + name + " is not ready");
            }
        }
        record.line("all machines are ready");
    }

    void launch(Machine &machine)
    {
        const std::string file = m_settings.temporary + "/" + machine.name + ".toml";
        writeSettings(machine, file);
        machine.pid = ::fork();
        if (machine.pid == 0) {
            // Ends with the script, also when that is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("GENTIANPLANK_NODE_FILE", file.c_str(), 1);
            const std::string log = m_settings.temporary + "/" + machine.name + ".log";
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl(m_settings.program.c_str(), m_settings.program.c_str(), "--metrics_port",
                    "9464", nullptr);
            ::_exit(127);
        }
        record.line("machine " + machine.name + " starts as process " +
                    std::to_string(machine.pid));
    }

    bool isReady(const Machine &machine)
    {
        const auto socket = Socket::connect(machine.ip, readyPort);
        if (!socket || !socket->send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return false;
        }
        const auto line = socket->readLine(500);
        return line && line->find(" 200") != std::string::npos;
    }

    bool awaitReady(const Machine &machine, int64_t withinMs)
    {
        const int64_t end = nowMs() + withinMs;
        while (nowMs() < end) {
            if (isReady(machine)) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }

    std::string newId()
    {
        const std::lock_guard lock(m_mutex);
        char text[32];
        std::snprintf(text, sizeof text, "%08llx%08llx",
                      static_cast<unsigned long long>(m_random() & 0xffffffffU),
                      static_cast<unsigned long long>(++m_lastId));
        return text;
    }

    [[noreturn]] void fail(const std::string &what)
    {
        record.line("could not run: " + what);
        std::fprintf(stderr, "could not run: %s\n", what.c_str());
        endAll();
        std::_Exit(2);
    }

    // Ends the script with the result; 1 if the rule was broken.
    [[noreturn]] void end(bool isBroken, const std::string &what)
    {
        record.line(std::string(isBroken ? "RULE BROKEN: " : "rule held: ") + what);
        std::printf("%s: %s\n", isBroken ? "rule broken" : "rule held", what.c_str());
        std::fflush(stdout);
        endAll();
        std::_Exit(isBroken ? 1 : 0);
    }

    void endAll()
    {
        for (const auto &[name, machine] : machines) {
            if (machine->pid > 0) {
                ::kill(machine->pid, SIGCONT);
                ::kill(machine->pid, SIGKILL);
                ::waitpid(machine->pid, nullptr, 0);
                machine->pid = -1;
            }
        }
    }

    // The ports are the same on all machines.
    const uint16_t frontPort = freePort();
    const uint16_t readyPort = freePort();
    const uint16_t peerPort = freePort();

private:
    Settings m_settings;

public:
    Record record;
    Store store;
    Group group;
    std::unique_ptr<Listener> cloud;
    std::map<std::string, std::unique_ptr<Machine>> machines;

private:
    // Returns a port that is free on all addresses.
    static uint16_t freePort()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = Socket::addressOf("0.0.0.0", 0);
        ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
        socklen_t size = sizeof address;
        getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
        ::close(fd);
        return ntohs(address.sin_port);
    }

    void serveCloud(Socket &socket)
    {
        serveHttp(socket, [this](const HttpRequest &request) {
            const std::string member = Json::parse(request.body).at("id");
            const int status = group.isUp(member) ? 200 : 409;
            record.line("platform: promotion of " + member + " by " +
                        request.headers.at("x-gentianplank-duty-holder") + " with token " +
                        request.headers.at("x-gentianplank-fence-token") + " -> " +
                        std::to_string(status));
            if (status == 200) {
                group.promote(member);
            }
            return HttpResponse{status, Json::object()};
        });
    }

    void writeSettings(const Machine &machine, const std::string &file)
    {
        std::ofstream out(file);
        const std::string zone = machine.zone;
        out << "node-name = \"" << machine.name << "\"\nrole = \"entry\"\n"
            << "machine-class = \"front\"\nserves = [\"front\"]\nip = \"" << machine.ip << "\"\n"
            << "zone = \"" << zone << "\"\nregion = \"" << m_settings.regions.at(zone) << "\"\n"
            << "internal-port-range = [" << peerPort << "," << peerPort + 15
            << "]\nseed-nodes = []\nbootstrap = true\n"
            << "tolerance-counted = false\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n"
            << "heartbeat-interval-ms = 1200\n"
            << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\","
            << "\"tenants\",\"quota\",\"platform\"]\n[zones]\n";
        for (const auto &[name, region] : m_settings.regions) {
            out << name << " = \"" << region << "\"\n";
        }
        out << "[listen-addresses]\nfront = \"" << machine.ip << ":" << frontPort
            << "\"\nready = \"" << machine.ip << ":" << readyPort << "\"\n"
            << "[limits]\ncpu-share = 0.25\ncpu-cores = 1\nmemory-mb = 260\n"
            << "file-descriptors = 4300\nlink-mbps = 1000.0\ndisk-mb = 0\n"
            << "[fault-tolerance]\nmachines = 2\nzones = 0\nregions = 0\n"
            << "[bounds]\nseed-lag-s = 3\naddress-reuse-s = 2\nstability-window-ms = 5000\n"
            << "ack-timeout-ms = 6000\ncatch-up-s = 4\ndrain-ms = 7000\ngrace-s = 6\n"
            << "loss-slack-ms = 200\nconfig-apply-ms = 4000\nrollback-slack-ms = 250\n"
            << "outer-bound-ms = 15000\nstrict-revocation = true\nrevoke-ms = 5000\n"
            << "quota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\nrecovery-s = 12\n"
            << "fencing-enforced = false\nthaw-slack-ms = 300\n"
            << "[platform]\naddress = \"" << machine.storeWay->address()
            << "\"\nform = \"table\"\nwrites-per-s = 400\nreads-per-s = 2000\n"
            << "transaction-ms = 5.0\npart-writes-per-s = 200\nrow-bytes = 65536\n"
            << "across = false\nhistory-s = 20\nblob-bytes = 8388608\nblob-ms = 25.0\n"
            << "blob-mb-per-s = 80.0\n[cloud-api]\naddress = \"" << cloud->address()
            << "\"\nrate-per-s = 50.0\nduties = [\"promotion\"]\nduty-per-s = 50.0\n";
    }

    std::string m_net;
    uint64_t m_configVersion = 10;
    std::mutex m_mutex;
    std::mt19937_64 m_random{std::random_device{}()};
    uint64_t m_lastId = 0;
};

// Whether the script makes its disruption; with TROUBLE=0 it does the same without.
inline bool troubleIsOn()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

// Settings like those of the site safra-ledger, from the arguments of a script's program: the
// case's folder, a temporary folder, and the program of the deploy file.
inline World::Settings worldSettings(int argc, char **argv)
{
    if (argc < 4) {
        std::fprintf(stderr, "usage: case FOLDER TEMPORARY PROGRAM\n");
        std::exit(2);
    }
    nowMs();
    World::Settings settings;
    settings.folder = argv[1];
    settings.temporary = argv[2];
    settings.program = argv[3];
    settings.zones = {{"rs-sul-a", 3}, {"rs-sul-b", 2}, {"pr-norte-a", 1}};
    settings.regions = {{"rs-sul-a", "rs-sul"}, {"rs-sul-b", "rs-sul"}, {"pr-norte-a", "pr-norte"}};
    return settings;
}

} // namespace review
