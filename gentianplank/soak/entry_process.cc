#include "gentianplank/soak/entry_process.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace gentianplank {

EntryProcess::EntryProcess(EntryProcessOptions options)
    : m_options(std::move(options))
{}

EntryProcess::~EntryProcess()
{
    kill();
}

void EntryProcess::start()
{
    kill();
    const std::string base = m_options.folder + "/" + m_options.settings.name;
    std::ofstream(base + ".toml") << settingsText(m_options.settings);
    const std::string settings = "--settings=" + base + ".toml";
    const std::string log = base + ".log";
    const pid_t pid = fork();
    if (pid < 0) {
        throw std::system_error(errno, std::generic_category(), "fork");
    }
    if (pid == 0) {
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execl(m_options.program.c_str(), m_options.program.c_str(), settings.c_str(), nullptr);
        _exit(EXIT_FAILURE);
    }
    m_pid = pid;
}

void EntryProcess::signal(int number) const
{
    if (m_pid != 0) {
        ::kill(m_pid, number);
    }
}

void EntryProcess::kill()
{
    if (isRunning()) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

bool EntryProcess::isRunning()
{
    if (m_pid == 0) {
        return false;
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_hasFailed = m_hasFailed || !WIFEXITED(status) || WEXITSTATUS(status) != EXIT_SUCCESS;
        m_pid = 0;
    }
    return m_pid != 0;
}

} // namespace gentianplank
