#pragma once

// A small deployment on loopback addresses: store, servers, and gateways as separate processes.

#include "Store.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>

namespace review {

/** The record of a run: what was sent, answered and run, with the time since the start. */
class Record
{
public:
    explicit Record(const std::string &file)
        : out_(file)
    { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        const auto since = std::chrono::duration<double>(Clock::now() - start_).count();
        char time[32];
        std::snprintf(time, sizeof time, "%9.4f s  ", since);
        out_ << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    Clock::time_point start_ = Clock::now();
};

/** A port that was free a moment ago, below the range of outgoing connections. */
inline std::uint16_t freePort()
{
    static std::uint16_t next = static_cast<std::uint16_t>(13000 + ::getpid() % 900 * 20);
    while (true) {
        const auto port = next++;
        bool isFree = true;
        for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
            const int fd = ::socket(AF_INET, type, 0);
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_port = htons(port);
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            isFree =
                isFree && ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
            ::close(fd);
        }
        if (isFree)
            return port;
    }
}

/** One gateway process, started with the command of the deploy file. */
class Gateway
{
public:
    Gateway(std::string name, std::string zone, const std::string &folder, std::string store)
        : name_(std::move(name))
        , zone_(std::move(zone))
        , file_(folder + '/' + name_ + ".conf")
        , log_(folder + '/' + name_ + ".log")
        , store_(std::move(store))
    {
        for (auto *port : {&caller, &directory, &readiness, &control, &peer, &metrics})
            *port = freePort();
    }
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway() { end(); }

    /** Renders the settings as deploy/gateway-settings.json.in does. */
    void writeSettings(const std::vector<std::uint16_t> &seeds, int memoryMb = 260) const
    {
        const auto at = [](std::uint16_t port) {
            return "\"127.0.0.1:" + std::to_string(port) + '"';
        };
        std::string list;
        for (const auto seed : seeds)
            list += (list.empty() ? "" : ",") + at(seed);
        std::ofstream out(file_);
        out << "{ \"instance\": { \"id\": \"" << name_ << "\", \"domain\": \"" << zone_
            << "\", \"region\": \"region-1\" },\n  \"listen\": { \"caller\": " << at(caller)
            << ", \"directory\": " << at(directory) << ", \"readiness\": " << at(readiness)
            << ", \"control\": " << at(control) << ", \"peer\": " << at(peer)
            << ", \"metrics\": " << at(metrics) << " },\n  \"store\": \"" << store_
            << "\",\n  \"seeds\": [ " << list
            << " ],\n  \"bounds\": { \"graceSeconds\": 8, \"serverHeartbeatMs\": 1200, "
               "\"retrySlack\": 52 },\n"
               "  \"limits\": { \"processorShare\": 0.25, \"cores\": 1, \"memoryMb\": "
            << memoryMb << ", \"linkMbps\": 1000 }\n}\n";
    }

    void start()
    {
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        // The gateway must not outlive a case that is interrupted.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        const auto option = "--settings=" + file_;
        ::execl("target/bin/jygateway", "target/bin/jygateway", option.c_str(), nullptr);
        ::_exit(127);
    }

    void signal(int number) const { ::kill(pid_, number); }

    /** @returns the status of waitpid() if the process has ended */
    std::optional<int> ended()
    {
        if (!status_ && pid_ > 0) {
            int status = 0;
            if (::waitpid(pid_, &status, WNOHANG) == pid_)
                status_ = status;
        }
        return status_;
    }

    void end()
    {
        if (pid_ > 0 && !ended()) {
            ::kill(pid_, SIGCONT);
            ::kill(pid_, SIGKILL);
            int status = 0;
            ::waitpid(pid_, &status, 0);
        }
        pid_ = -1;
    }

    bool ready() const
    {
        const auto connection = Connection::open(readiness);
        if (!connection
            || !connection->write("GET /jacinthyoke/readiness HTTP/1.1\r\nHost: r\r\n\r\n"))
            return false;
        const auto answer = connection->read(Clock::now() + milliseconds(500), true);
        return answer && answer->status() == 200;
    }

    std::string logText() const
    {
        std::ifstream in(log_);
        return {std::istreambuf_iterator<char>(in), {}};
    }

    const std::string &name() const { return name_; }

    std::uint16_t caller = 0;
    std::uint16_t directory = 0;
    std::uint16_t readiness = 0;
    std::uint16_t control = 0;
    std::uint16_t peer = 0;
    std::uint16_t metrics = 0;

private:
    std::string name_;
    std::string zone_;
    std::string file_;
    std::string log_;
    std::string store_;
    pid_t pid_ = -1;
    std::optional<int> status_;
};

/** A server that registers itself and writes its heartbeats. */
class Server
{
public:
    using Handler = std::function<void(const Message &, Connection &)>;

    Server(Store &store, std::string id, std::string service, std::string zone, int slots,
           Handler handler)
        : store_(store)
        , id_(std::move(id))
        , service_(std::move(service))
        , zone_(std::move(zone))
        , slots_(slots)
        , handler_(std::move(handler))
        , listener_([this](Connection &connection) { serve(connection); })
    {
        std::thread([this] {
            while (true) {
                heartbeat();
                std::this_thread::sleep_for(milliseconds(1200));
            }
        }).detach();
    }

    const std::string &id() const { return id_; }
    std::uint16_t port() const { return listener_.port(); }

    /** The fields by which a client knows that the answer is this server's. */
    std::string seal(const Message &request) const
    {
        return "Jacinthyoke-Attempt-Id: " + request.value("Jacinthyoke-Attempt-Id")
            + "\r\nJacinthyoke-Replica-Seal: " + id_ + "\r\n";
    }

private:
    void heartbeat()
    {
        boost::json::object entry{{"service", service_}, {"address", listener_.address()},
                                  {"zone", zone_},       {"version", "v1"},
                                  {"slots", slots_},     {"state", "ready"},
                                  {"cold_left_ms", 0},   {"sequence", 1},
                                  {"born", born_}};
        const auto text = boost::json::serialize(entry);
        if (text != written_)
            store_.put("servers/" + id_, written_ = text);
    }

    void serve(Connection &connection)
    {
        while (const auto request = connection.read(Clock::now() + std::chrono::hours(1), false)) {
            if (!request->complete)
                return;
            const auto expected = request->find("Jacinthyoke-Expect-Replica");
            const auto id = request->value("Jacinthyoke-Attempt-Id");
            const auto echo = "Jacinthyoke-Attempt-Id: " + id + "\r\n";
            if (expected && *expected != id_)
                connection.write(
                    response(421, echo + "Jacinthyoke-Replica-Id: " + id_ + "\r\n", ""));
            else if (id.empty())
                connection.write(response(400, "Jacinthyoke-Not-Executed: 1\r\n", ""));
            else
                handler_(*request, connection);
        }
    }

    Store &store_;
    std::string id_;
    std::string service_;
    std::string zone_;
    int slots_;
    Handler handler_;
    std::string written_;
    std::int64_t born_ = std::chrono::duration_cast<milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
    Listener listener_;
};

/** Folder for settings and logs, removed at the end unless KEEP is set. */
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "jyreview-XXXXXX";
        path_ = ::mkdtemp(pattern.data());
    }
    ~TemporaryFolder()
    {
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(path_);
    }
    const std::string &path() const { return path_; }

private:
    std::string path_;
};

inline bool within(milliseconds time, const std::function<bool()> &condition)
{
    const auto until = Clock::now() + time;
    while (Clock::now() < until) {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return condition();
}

inline void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/** Whether the run includes the disruption. */
inline bool withTrouble()
{
    const auto *value = std::getenv("TROUBLE");
    return !value || std::string_view(value) != "0";
}

enum Verdict { held = 0, broken = 1, couldNotRun = 2 };

/** Runs a case and ends the process with its verdict. Stores and servers that @p run creates have
 * to live on, as their threads are detached; gateways and folders have to end with it. */
[[noreturn]] inline void runCase(const char *recordFile, const std::string &rule,
                                 const std::function<Verdict(Record &)> &run)
{
    auto &record = *new Record(recordFile);
    Verdict verdict = couldNotRun;
    try {
        verdict = run(record);
    } catch (const std::exception &error) {
        record.line(std::string("error: ") + error.what());
    }
    record.line(verdict == broken     ? rule + " was broken"
                    : verdict == held ? rule + " held"
                                      : "the case could not run");
    std::_Exit(verdict);
}

} // namespace review
