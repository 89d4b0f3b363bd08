// A service of databases, after the pages: a primary and its replicas with the line protocol.
#pragma once

#include "net.hpp"

#include <compare>

namespace review {

struct Position
{
    uint64_t term = 1;
    uint64_t number = 0;

    auto operator<=>(const Position &) const = default;
    std::string text() const { return std::to_string(term) + "." + std::to_string(number); }
};

struct Commit
{
    Position position;
    std::string requestId;
    std::map<std::string, std::string> writes;
};

// One statement of a client that a member ran.
struct Run
{
    int64_t atMs = 0;
    std::string member;
    std::string requestId;
    // The tenant that the member was told.
    std::string tenant;
    std::string text;
};

// A service: a primary and its replicas, after the page about members. One mutex guards all.
class Group
{
public:
    struct Settings
    {
        std::string name;
        uint32_t connectionLimit = 34;
        int64_t workMs = 8;
        int64_t replicationMs = 8;
        int64_t promoteMs = 1000;
    };

    struct Member
    {
        std::string id;
        std::string zone;
        std::unique_ptr<Listener> listener;
        bool isUp = true;
        bool isPrimary = false;
        uint64_t term = 1;
        std::vector<Commit> log;
        int connections = 0;
        bool isDraining = false;
        int64_t born = 0;
        uint64_t sequence = 0;
    };

    Group(Settings settings, Record &record)
        : m_settings(std::move(settings))
        , m_record(record)
    {}

    void add(const std::string &id, const std::string &zone, const std::string &ip, bool isPrimary)
    {
        auto member = std::make_unique<Member>();
        member->id = id;
        member->zone = zone;
        member->isPrimary = isPrimary;
        member->born = 1780000000000 + static_cast<int64_t>(m_members.size());
        Member *it = member.get();
        if (!m_members.empty()) {
            const std::lock_guard lock(m_mutex);
            for (const auto &[name, other] : m_members) {
                if (other->isPrimary) {
                    it->term = other->term;
                    it->log = other->log;
                }
            }
        }
        member->listener = std::make_unique<Listener>(
            ip, 0, [this, it](const std::shared_ptr<Socket> &socket) { serve(*it, *socket); });
        const std::lock_guard lock(m_mutex);
        m_members[id] = std::move(member);
    }

    Json entry(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        Member &it = *m_members.at(id);
        return {{"service", m_settings.name},
                {"address", it.listener->address()},
                {"zone", it.zone},
                {"version", "v1"},
                {"slot-count", 3},
                {"state", it.isDraining ? "draining" : "ready"},
                {"cold-remaining-ms", 0},
                {"database-role", it.isPrimary ? "primary" : "replica"},
                {"sequence", ++it.sequence},
                {"born", it.born}};
    }

    // Called with a member's id when it reports a change of itself.
    std::function<void(const std::string &id)> onReport;

    // Makes the member the primary of the next term after some time, with what it has received.
    void promote(const std::string &id)
    {
        std::thread([this, id] {
            sleepMs(m_settings.promoteMs);
            takeLead(id);
        }).detach();
    }

    bool isUp(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_members.find(id);
        return it != m_members.end() && it->second->isUp;
    }

    std::vector<std::string> ids()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> names;
        for (const auto &[id, member] : m_members) {
            names.push_back(id);
        }
        return names;
    }

    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    struct Session
    {
        bool isOpen = false;
        bool isFailed = false;
        bool isReadOnly = false;
        std::map<std::string, std::string> writes;
        std::map<std::string, std::pair<bool, std::string>> prepared;
    };

    static Position positionOf(const Member &member)
    {
        return member.log.empty() ? Position{member.term, 0} : member.log.back().position;
    }

    // Called with m_mutex held.
    void takeLeadLocked(Member &leader)
    {
        uint64_t term = 0;
        for (const auto &[id, member] : m_members) {
            term = std::max(term, member->term);
        }
        leader.isPrimary = true;
        leader.term = term + 1;
        m_record.line("member " + leader.id + " leads term " + std::to_string(leader.term) +
                      " with position " + positionOf(leader).text());
    }

    void takeLead(const std::string &id)
    {
        uint64_t term = 0;
        {
            const std::lock_guard lock(m_mutex);
            Member &leader = *m_members.at(id);
            if (!leader.isUp || leader.isPrimary) {
                return;
            }
            takeLeadLocked(leader);
            term = leader.term;
            // The replicas follow the new primary; those that were ahead are rolled back.
            for (const auto &[name, member] : m_members) {
                if (member->isUp && !member->isPrimary) {
                    member->term = leader.term;
                    member->log = leader.log;
                }
            }
        }
        onReport(id);
        // An old primary continues until a second after it can reach the new one.
        sleepMs(1000);
        stepDown(term);
    }

    // Primaries of lower terms become replicas.
    void stepDown(uint64_t term)
    {
        std::vector<std::string> changed;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &[name, member] : m_members) {
                if (member->isUp && member->isPrimary && member->term < term) {
                    becomeReplicaLocked(*member);
                    changed.push_back(name);
                }
            }
        }
        for (const std::string &name : changed) {
            onReport(name);
        }
    }

    void becomeReplicaLocked(Member &old)
    {
        old.isPrimary = false;
        const Member *newest = nullptr;
        for (const auto &[name, member] : m_members) {
            if (member->isPrimary && (newest == nullptr || newest->term < member->term)) {
                newest = member.get();
            }
        }
        if (newest != nullptr) {
            old.term = newest->term;
            old.log = newest->log;
        }
        m_record.line("member " + old.id + " becomes a replica");
    }

    void commitLocked(Member &member, const std::string &requestId,
                      std::map<std::string, std::string> writes)
    {
        const Position position{member.term, positionOf(member).number + 1};
        member.log.push_back({position, requestId, std::move(writes)});
        m_record.line("member " + member.id + " commits " + requestId + " at " + position.text());
        // Replicas receive the log in order.
        std::thread([this, id = member.id, term = member.term, size = member.log.size()] {
            sleepMs(m_settings.replicationMs);
            const std::lock_guard lock(m_mutex);
            const std::vector<Commit> &log = m_members.at(id)->log;
            if (m_members.at(id)->term != term) {
                return;
            }
            for (const auto &[name, it] : m_members) {
                while (it->isUp && !it->isPrimary && it->term == term && it->log.size() < size) {
                    it->log.push_back(log[it->log.size()]);
                }
            }
        }).detach();
    }

    void serve(Member &member, Socket &socket)
    {
        const auto first = socket.readLine();
        if (!first) {
            return;
        }
        std::istringstream words(*first);
        std::string word;
        std::string service;
        std::string who;
        std::string id;
        words >> word >> service >> who >> id;
        {
            std::unique_lock lock(m_mutex);
            std::string error;
            if (word != "START" || service != m_settings.name || (!id.empty() && id != member.id)) {
                error = "ERROR MISROUTED " + member.id + "\r\n";
            } else if (member.connections >= static_cast<int>(m_settings.connectionLimit)) {
                error = "ERROR TOOMANY " + member.id + "\r\n";
            }
            if (!error.empty()) {
                lock.unlock();
                socket.send(error);
                return;
            }
            ++member.connections;
        }
        sleepMs(12);
        Session session;
        if (socket.send("READY I " + currentPosition(member) + "\r\n")) {
            while (const auto line = socket.readLine()) {
                const auto answer = query(member, session, who, *line);
                if (!answer || !socket.send(*answer)) {
                    break;
                }
            }
        }
        const std::lock_guard lock(m_mutex);
        --member.connections;
    }

    std::string currentPosition(const Member &member)
    {
        const std::lock_guard lock(m_mutex);
        return positionOf(member).text();
    }

    std::optional<std::string> query(Member &member, Session &session, const std::string &who,
                                     const std::string &line)
    {
        std::istringstream words(line);
        std::string word;
        std::string id;
        words >> word >> id;
        if (word != "QUERY") {
            return std::nullopt;
        }
        std::string text = line.size() > 6 + id.size() + 1 ? line.substr(6 + id.size() + 1) : "";
        const bool takesSlot = id != "-";
        if (takesSlot) {
            sleepMs(m_settings.workMs);
            m_record.line("member " + member.id + " runs " + id + " of " + who + ": " + text);
        }
        const std::lock_guard lock(m_mutex);
        if (takesSlot) {
            m_runs.push_back({nowMs(), member.id, id, who, text});
        }
        if (!member.isUp) {
            return std::nullopt;
        }
        std::string rows;
        std::string error = run(member, session, id, text, rows);
        if (!error.empty() && session.isOpen) {
            session.isFailed = true;
        }
        const std::string state = !session.isOpen ? "I" : session.isFailed ? "E" : "T";
        const std::string done =
            error.empty() ? "DONE " + (id == "-" ? "-" : "s." + id) : "ERROR " + error;
        return rows + done + "\r\nREADY " + state + " " + positionOf(member).text() + "\r\n";
    }

    std::string value(const Member &member, const Session &session, const std::string &item) const
    {
        const auto own = session.writes.find(item);
        if (own != session.writes.end()) {
            return own->second;
        }
        for (auto it = member.log.rbegin(); it != member.log.rend(); ++it) {
            const auto written = it->writes.find(item);
            if (written != it->writes.end()) {
                return written->second;
            }
        }
        return "-";
    }

    // Returns the error's code and text; empty on success.
    std::string run(Member &member, Session &session, const std::string &id, std::string text,
                    std::string &rows)
    {
        std::istringstream words(text);
        std::string verb;
        words >> verb;
        if (verb == "AFTER") {
            Position wanted;
            char dot = 0;
            words >> wanted.term >> dot >> wanted.number >> verb;
            if (positionOf(member) < wanted) {
                return "LAGGING " + member.id;
            }
        }
        if (session.isFailed && verb != "ROLLBACK" && verb != "COMMIT") {
            return "MALFORMED the transaction failed";
        }
        std::string item;
        std::string data;
        if (verb == "EXECUTE") {
            std::string name;
            words >> name;
            const auto it = session.prepared.find(name);
            if (it == session.prepared.end()) {
                return "NOSTMT " + name;
            }
            verb = it->second.first ? "WRITE" : "READ";
        }
        if (verb == "STATUS" || verb == "DEMOTE" || verb == "PAUSE" || verb == "RESUME") {
            uint64_t term = 0;
            words >> term;
            if (verb == "DEMOTE" && member.isPrimary && member.term < term) {
                becomeReplicaLocked(member);
            }
            rows = std::string("ROW ") + (member.isPrimary ? "primary " : "replica ") +
                   std::to_string(member.term) + " " + positionOf(member).text() + " 0 1 0 " +
                   std::to_string(member.connections) + "\r\n";
            return "";
        }
        if (verb == "SET" || verb == "DEALLOCATE") {
            return "";
        }
        if (verb == "RESET") {
            session.prepared.clear();
            return "";
        }
        if (verb == "PREPARE") {
            std::string name;
            std::string mode;
            std::string shape;
            words >> name >> mode >> shape;
            session.prepared[name] = {mode == "WRITE", shape};
            return "";
        }
        if (verb == "BEGIN") {
            std::string mode;
            words >> mode;
            session.isReadOnly = mode == "READ";
            if (!session.isReadOnly && !member.isPrimary) {
                return "READONLY " + member.id;
            }
            session.isOpen = true;
            session.isFailed = false;
            session.writes.clear();
            return "";
        }
        if (verb == "ROLLBACK" || verb == "COMMIT") {
            const bool commits = verb == "COMMIT" && !session.isFailed && !session.writes.empty();
            const bool failed = session.isFailed && verb == "COMMIT";
            session.isOpen = false;
            session.isFailed = false;
            const auto written = std::move(session.writes);
            session.writes.clear();
            if (failed) {
                return "ABORTED the transaction failed";
            }
            if (commits && !member.isPrimary) {
                return "READONLY " + member.id;
            }
            if (commits) {
                commitLocked(member, id, written);
            }
            return "";
        }
        words >> item >> data;
        if (verb == "READ") {
            rows = "ROW " + value(member, session, item) + "\r\n";
            return "";
        }
        if (verb == "WRITE") {
            if (!member.isPrimary) {
                return "READONLY " + member.id;
            }
            if (session.isOpen) {
                session.writes[item] = data;
            } else {
                commitLocked(member, id, {{item, data}});
            }
            return "";
        }
        return "MALFORMED " + verb;
    }

    Settings m_settings;
    Record &m_record;
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Member>> m_members;
    std::vector<Run> m_runs;
};

} // namespace review
