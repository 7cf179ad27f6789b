#include "common/ChildProcess.h"

#include "jy_runtime/jy_runtime.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jy::bench {

ChildProcess::ChildProcess(std::string program, const std::vector<std::string> &arguments,
                           const std::string &logFile)
    : program_(std::move(program))
{
    std::vector<char *> argv;
    argv.push_back(program_.data());
    for (const std::string &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ < 0)
        throw std::runtime_error("fork failed for " + program_);
    if (pid_ > 0)
        return;
    // The kernel ends the child with its parent, also when the parent is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(127);
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log >= 0) {
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
    }
    // Sockets of this process that a child holds too would stay open when this process closes them.
    constexpr unsigned firstInherited = STDERR_FILENO + 1;
    close_range(firstInherited, ~0U, 0);
    execv(program_.c_str(), argv.data());
    _exit(127);
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int number)
{
    if (running())
        ::kill(pid_, number);
}

void ChildProcess::kill()
{
    if (!running())
        return;
    ::kill(pid_, SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
    exitCode_ = 128 + SIGKILL;
}

bool ChildProcess::running()
{
    if (exitCode_)
        return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
        return true;
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return false;
}

std::optional<int> ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (running() && std::chrono::steady_clock::now() < deadline)
        EventLoop::sleepFor(std::chrono::milliseconds(10));
    return exitCode_;
}

ChildProcess::Usage ChildProcess::usage() const
{
    const std::string folder = "/proc/" + std::to_string(pid_);
    std::ifstream stat(folder + "/stat");
    std::string field;
    double ticks = 0;
    // Fields 14 and 15 are user and system time, field 24 is the resident set in pages.
    Usage usage;
    for (int i = 1; i <= 24 && stat >> field; ++i) {
        if (i == 14 || i == 15)
            ticks += std::stod(field);
        if (i == 24)
            usage.residentMegabytes = std::stod(field) * sysconf(_SC_PAGESIZE) / 1e6;
    }
    usage.cpuSeconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    return usage;
}

} // namespace jy::bench
