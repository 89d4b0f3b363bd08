// A real gentianplank-entry process of a soak run: started with a settings file, signalled, and
// started again.
//
//     EntryProcess vm(options);
//     vm.start();
//     vm.kill();
#pragma once

#include "gentianplank/standin/configuration_document.h"

#include <string>

#include <sys/types.h>

namespace gentianplank {

struct EntryProcessOptions
{
    std::string program;
    // Existing folder for the settings file and the log of this process.
    std::string folder;
    SettingsDocument settings;
};

// Not thread-safe. Kills a process that still runs when it is destroyed.
class EntryProcess
{
public:
    explicit EntryProcess(EntryProcessOptions options);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    const EntryProcessOptions &options() const { return m_options; }

    // Writes the settings and starts the process. Its log is appended to NAME.log in the folder.
    // Throws std::system_error if no process can be started.
    void start();
    // Sends a signal to the running process; does nothing if there is none.
    void signal(int number) const;
    // Kills the process and waits for its end.
    void kill();
    // Returns whether the process runs. One that has ended is reaped, and `hasFailed` is set if it
    // ended by a signal that was not sent here, or with an error.
    bool isRunning();
    bool hasFailed() const { return m_hasFailed; }

private:
    EntryProcessOptions m_options;
    pid_t m_pid = 0;
    bool m_hasFailed = false;
};

} // namespace gentianplank
