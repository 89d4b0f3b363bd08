#include "gentianplank/base/event_log.h"

#include "gentianplank/base/boot_clock.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#ifdef __SANITIZE_THREAD__
// libboost_log is not instrumented: ThreadSanitizer doesn't see the atomic reference counts by
// which logEvent and the writer share a record, and reports its release as a race.
extern "C" const char *__tsan_default_suppressions()
{
    return "race:boost::log::\n";
}
#endif

namespace gentianplank {

namespace {

namespace sinks = boost::log::sinks;

// About one second of a handful of events at their rate limit, at 200 bytes a line.
constexpr size_t MaxQueuedLines = 1000;

// The writer polls the queue at this interval, so that logging threads never wake it.
constexpr Duration WriteInterval = std::chrono::milliseconds(100);

std::atomic<uint64_t> droppedLines{0};
std::atomic<size_t> queuedBytes{0};

// The overflow strategy of the queue: drops the record and counts it.
struct DropAndCount
{
    template <typename Lock>
    static bool on_overflow(const boost::log::record_view & /*record*/, Lock & /*lock*/)
    {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    static void on_queue_space_available() {}
    static void interrupt() {}
};

using EventSink = sinks::asynchronous_sink<sinks::text_ostream_backend,
                                           sinks::bounded_fifo_queue<MaxQueuedLines, DropAndCount>>;

struct EventBudget
{
    int64_t second = 0;
    uint32_t lines = 0;
    uint64_t total = 0;
};

struct Writer
{
    std::mutex mutex;
    boost::shared_ptr<EventSink> sink;
    std::thread thread;
    std::atomic<bool> isStopping{false};
    std::map<std::string, EventBudget, std::less<>> budgets;
    uint64_t reportedDrops = 0;
    int64_t reportedAt = 0;
};

Writer &writer()
{
    static Writer instance;
    return instance;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\\\r\n\t") != std::string_view::npos;
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line.append(value);
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    line += '"';
}

bool consumeLineBudget(Writer &state, std::string_view event, int64_t second)
{
    auto it = state.budgets.find(event);
    if (it == state.budgets.end()) {
        it = state.budgets.emplace(std::string(event), EventBudget{}).first;
    }
    if (it->second.second != second) {
        it->second.second = second;
        it->second.lines = 0;
    }
    ++it->second.total;
    return ++it->second.lines <= MaxEventLinesPerSecond;
}

void write(const std::string &line)
{
    static boost::log::sources::logger source;
    if (auto record = source.open_record()) {
        boost::log::record_ostream stream(record);
        stream << line;
        stream.flush();
        queuedBytes.fetch_add(line.size(), std::memory_order_relaxed);
        source.push_record(std::move(record));
    }
}

} // namespace

void startEventLog()
{
    Writer &state = writer();
    const std::lock_guard lock(state.mutex);
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream *) {}));
    state.sink = boost::make_shared<EventSink>(backend, boost::log::keywords::start_thread = false);
    boost::log::core::get()->add_sink(state.sink);
    state.isStopping = false;
    state.thread = std::thread([&state, sink = state.sink] {
        while (!state.isStopping) {
            std::this_thread::sleep_for(WriteInterval);
            const size_t queued = queuedBytes.load(std::memory_order_relaxed);
            sink->feed_records();
            sink->flush();
            queuedBytes.fetch_sub(queued, std::memory_order_relaxed);
        }
    });
}

void stopEventLog()
{
    Writer &state = writer();
    boost::shared_ptr<EventSink> sink;
    {
        const std::lock_guard lock(state.mutex);
        sink = std::move(state.sink);
    }
    if (sink) {
        boost::log::core::get()->remove_sink(sink);
        state.isStopping = true;
        state.thread.join();
        sink->feed_records();
        sink->flush();
    }
}

void logEvent(std::string_view event, std::initializer_list<EventField> fields)
{
    Writer &state = writer();
    const std::lock_guard lock(state.mutex);
    if (!state.sink) {
        return;
    }
    const int64_t second =
        std::chrono::duration_cast<std::chrono::seconds>(bootNow().time_since_epoch()).count();
    if (!consumeLineBudget(state, event, second)) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    const uint64_t drops = droppedLines.load(std::memory_order_relaxed);
    if (drops != state.reportedDrops && state.reportedAt != second) {
        write(formatEvent("log.dropped", {{"lines", drops - state.reportedDrops}}));
        state.reportedDrops = drops;
        state.reportedAt = second;
    }
    write(formatEvent(event, fields));
}

std::map<std::string, uint64_t> eventCounts()
{
    Writer &state = writer();
    const std::lock_guard lock(state.mutex);
    std::map<std::string, uint64_t> counts;
    for (const auto &[event, budget] : state.budgets) {
        counts[event] = budget.total;
    }
    return counts;
}

size_t queuedLogBytes()
{
    return queuedBytes.load(std::memory_order_relaxed);
}

uint64_t droppedEventLines()
{
    return droppedLines.load(std::memory_order_relaxed);
}

std::string formatEvent(std::string_view event, std::initializer_list<EventField> fields)
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    std::string line = "time_ms=";
    line += std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
    line.append(" event=").append(event);
    for (const EventField &it : fields) {
        line += ' ';
        line.append(it.name);
        line += '=';
        appendValue(line, it.value);
    }
    return line;
}

} // namespace gentianplank
