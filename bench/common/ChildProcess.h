#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace jy::bench {

/** One started program. The process is killed at the latest when this object is destroyed. */
class ChildProcess
{
public:
    /**
     * Starts @p program of the build's binary folder.
     * @param logFile receives standard output and error
     */
    ChildProcess(std::string program, const std::vector<std::string> &arguments,
                 const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    const std::string &program() const { return program_; }
    int pid() const { return pid_; }

    /** Sends a signal unless the process has ended. */
    void signal(int number);

    void terminate() { signal(15); }
    void pause() { signal(19); }
    void resume() { signal(18); }

    /** Ends the process at once and waits for its end. */
    void kill();

    bool running();

    /** Suspends the calling fiber until the process ends. @returns its exit code, 128+N for signal
     * N. */
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);

    /** Processor time and resident memory at this moment. */
    struct Usage
    {
        double cpuSeconds = 0;
        double residentMegabytes = 0;
    };
    Usage usage() const;

private:
    std::string program_;
    int pid_ = -1;
    std::optional<int> exitCode_;
};

} // namespace jy::bench
