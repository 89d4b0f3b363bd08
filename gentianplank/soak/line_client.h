// A blocking caller of the line protocol with a time limit for each answer.
//
//     LineClient client;
//     if (client.connect("127.0.0.1:7000") && client.request("START db key")) { ... }
#pragma once

#include "gentianplank/base/time.h"

#include <optional>
#include <string>
#include <vector>

namespace gentianplank {

struct LineAnswer
{
    // All lines of the answer, the READY line last if it came.
    std::vector<std::string> lines;
    // The READY line came within the time limit.
    bool isComplete = false;
    // The connection ended before the READY line.
    bool isCut = false;
};

// Not thread-safe.
class LineClient
{
public:
    LineClient() = default;
    ~LineClient();
    LineClient(const LineClient &) = delete;
    LineClient &operator=(const LineClient &) = delete;

    // Connects to IP:PORT within the time limit and returns whether it did.
    bool connect(const std::string &address, Duration timeout);
    // Sends a line and waits for its answer. The connection is closed unless the answer is
    // complete.
    LineAnswer request(const std::string &line, Duration timeout);
    bool isConnected() const { return m_socket >= 0; }
    void close();

private:
    std::optional<std::string> readLine(Instant until, bool &isCut);

    int m_socket = -1;
    std::string m_buffer;
};

} // namespace gentianplank
