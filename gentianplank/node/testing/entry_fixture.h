// Fixture of tests over loopback: two entry VMs, a store, a group of members, and callers.
#pragma once

#include "gentianplank/base/testing/reserved_address.h"
#include "gentianplank/node/control/control.h"
#include "gentianplank/node/traffic/traffic.h"
#include "gentianplank/standin/configuration_document.h"
#include "gentianplank/standin/http_table_store.h"
#include "gentianplank/standin/line_protocol_group.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <poll.h>

#include <atomic>
#include <thread>

namespace gentianplank {

class Vm
{
public:
    // `adjust` may change the settings before the VM starts.
    Vm(const std::string &name, const std::string &zone, const HttpTableStore &store,
       const std::function<void(EntryVmSettings &)> &adjust = {}, const ZoneOptions &zones = {})
    {
        m_settings.name = name;
        m_settings.place = {zone, "r"};
        m_settings.regionOfZone = {{"a", "r"}, {"b", "r"}};
        m_settings.ip = "127.0.0.1";
        m_settings.callerAddress = reserveAddress();
        m_settings.readyAddress = reserveAddress();
        m_settings.firstPeerPort = reservePort();
        m_settings.lastPeerPort = m_settings.firstPeerPort;
        m_settings.storeAddress = store.address();
        m_settings.promotionAddress = store.address();
        m_settings.fileDescriptors = 4000;
        m_settings.memoryMb = 64;
        if (adjust) {
            adjust(m_settings);
        }
        static uint64_t incarnation = 1;
        ++incarnation;
        m_control = std::make_unique<Control>(m_settings, incarnation);
        TrafficHandler handler;
        handler.onMemberUnreachable = [this](const std::string &group, const std::string &member) {
            m_control->handleSuspicion(group, member);
        };
        handler.onPrimaryFailing = [this](const std::string &group, const std::string &member,
                                          const Evidence &evidence) {
            m_control->handleFailingPrimary(group, member, evidence);
        };
        handler.onControlRequest = [this](const peer::v1::Frame &frame,
                                          std::function<void(const peer::v1::Frame &)> reply) {
            m_control->handleRequest(frame, std::move(reply));
        };
        handler.onControlReply = [this](const std::string &vm, const peer::v1::Frame &frame) {
            m_control->handleReply(vm, frame);
        };
        handler.onPeerLost = [this](const std::string &vm) { m_control->handlePeerLost(vm); };
        handler.onHandOver = [this] { m_control->handOver(); };
        handler.onStopped = [this] { m_hasStopped = true; };
        m_traffic = std::make_unique<Traffic>(m_settings, incarnation, std::move(handler), zones);
        const auto error = m_traffic->start();
        BOOST_REQUIRE_MESSAGE(!error, error.value_or(""));
        m_control->start(*m_traffic);
    }

    ~Vm()
    {
        m_control->join();
        m_traffic->join();
    }

    const std::string &callerAddress() const { return m_settings.callerAddress; }
    const std::string &readyAddress() const { return m_settings.readyAddress; }
    void leave() { m_control->leave(); }
    bool hasStopped() const { return m_hasStopped; }

private:
    EntryVmSettings m_settings;
    std::unique_ptr<Control> m_control;
    std::unique_ptr<Traffic> m_traffic;
    std::atomic<bool> m_hasStopped{false};
};

class Caller
{
public:
    explicit Caller(const std::string &address)
        : m_socket(m_ioContext)
    {
        const size_t colon = address.find(':');
        m_socket.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                          static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))});
    }

    // Sends a line and returns the lines of the answer up to READY or the end of the connection.
    std::vector<std::string> request(const std::string &line)
    {
        boost::asio::write(m_socket, boost::asio::buffer(line + "\r\n"));
        std::vector<std::string> lines;
        boost::system::error_code ec;
        while (!ec && (lines.empty() || !lines.back().starts_with("READY"))) {
            boost::asio::read_until(m_socket, m_buffer, "\r\n", ec);
            if (ec) {
                break;
            }
            std::istream in(&m_buffer);
            std::string text;
            std::getline(in, text);
            text.pop_back();
            lines.push_back(text);
        }
        return lines;
    }

    // Sends bytes as they are. Ignores errors, as the other end may have stopped reading.
    void sendRaw(const std::string &bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
    }

    // Whether an error or the end of the connection arrives within `timeout`.
    bool isRefusedWithin(std::chrono::milliseconds timeout)
    {
        pollfd poller{m_socket.native_handle(), POLLIN, 0};
        return poll(&poller, 1, static_cast<int>(timeout.count())) > 0;
    }

    // Sends a line and returns the first line of the answer; empty if there is none.
    std::string firstLine(const std::string &line)
    {
        const auto lines = request(line);
        return lines.empty() ? "" : lines[0];
    }

private:
    boost::asio::io_context m_ioContext;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::streambuf m_buffer;
};

struct EntryFixture
{
    EntryFixture()
        : group("g", 3)
    {
        store.put("op", "config", configuration(1, "\"k1\",\"k2\""));
        for (size_t i = 0; i < 3; ++i) {
            store.put("servers", "g-" + std::to_string(i), group.discoveryDocument(i));
        }
        store.put("servers", "stranger", "not json");
        // The store lists the VMs from earlier processes, so that their rate shares are free to
        // use.
        for (const std::string name : {"vm-1", "vm-2"}) {
            store.put(FleetTable, "vm/" + name,
                      encodeVmRecord({name, "127.0.0.1:1", {"a", "r"}, 1, false}));
        }
        store.onPromotion([this](const std::string &name, const std::string &member) {
            if (name != "g") {
                return 404U;
            }
            group.promote(static_cast<size_t>(member.back() - '0'));
            return 200U;
        });
        first = std::make_unique<Vm>("vm-1", "a", store);
        second = std::make_unique<Vm>("vm-2", "b", store);
    }

    // Retries until the VM serves a write; it first has to read the store.
    static void awaitService(const std::string &address)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(15);
        while (std::chrono::steady_clock::now() < end) {
            Caller caller(address);
            if (caller.firstLine("START main k1").starts_with("READY") &&
                caller.firstLine("QUERY w0 WRITE warm 1").starts_with("DONE")) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        BOOST_FAIL("no service at " + address);
    }

    // Whether a write is acknowledged within `timeout`.
    static bool isWriteServed(const Vm &vm, const std::string &item, std::chrono::seconds timeout)
    {
        const auto end = std::chrono::steady_clock::now() + timeout;
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
            Caller caller(vm.callerAddress());
            caller.firstLine("START main k1");
            const std::string id = item + std::to_string(i);
            if (caller.firstLine("QUERY " + id + " WRITE " + item + " 1").starts_with("DONE")) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return false;
    }

    static size_t indexOf(const std::string &member)
    {
        return static_cast<size_t>(member.back() - '0');
    }

    // The stored record of the group.
    GroupRecord storedRecord() const
    {
        return *decodeGroupRecord(store.get(FleetTable, "group/g")->first);
    }

    HttpTableStore store;
    LineProtocolGroup group;
    std::unique_ptr<Vm> first;
    std::unique_ptr<Vm> second;
};

} // namespace gentianplank
