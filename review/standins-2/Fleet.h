// Gateways as processes, replicas and the record of a case.
#pragma once

#include "Store.h"

#include <cstdio>

#include <sys/types.h>

namespace review {

/** Writes record.txt: one line for each thing sent, answered, run or done, with its time. */
class Record
{
public:
    explicit Record(const std::string &file);
    ~Record();

    void note(const std::string &text);
    double seconds(Clock::time_point time) const;
    double now() const { return seconds(Clock::now()); }

private:
    std::mutex mutex_;
    std::FILE *file_;
    Clock::time_point start_;
};

/** Whether the case plays its disruption: TROUBLE is not 0. */
bool trouble();

/** A request that a replica has begun to run. */
struct Run
{
    std::string replica;
    std::string attempt;
    std::string tenant;
    Headers headers;
    Clock::time_point arrived;
};

/**
 * A replica of a service, with its entry in the store. Heartbeats that change only the sequence are
 * left out, as they do not change the entry.
 */
class Replica
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 16;
        milliseconds work{20};
    };

    Replica(Store &store, Record &record, Options options);
    ~Replica();

    const std::string &id() const { return options_.id; }
    const std::string &address() const { return server_->address(); }

    /** Reports that it leaves and goes on serving. @returns the time of the acknowledgement */
    Clock::time_point drain();

    /** Lets its entry be removed and goes on serving. @returns the time of the acknowledgement */
    Clock::time_point leaveUnannounced();

    /** Ends the process of the replica. */
    void exit();

    std::vector<Run> runs() const;

private:
    Response serve(const Request &request);
    std::string entry(const std::string &state);

    Store &store_;
    Record &record_;
    Options options_;
    long long born_;
    std::atomic<int> sequence_{0};
    std::atomic<bool> exited_{false};
    mutable std::mutex mutex_;
    std::vector<Run> runs_;
    std::unique_ptr<Server> server_;
};

/** The project's program as separate processes, one for each machine. */
class Gateways
{
public:
    struct Machine
    {
        std::string name;
        std::string zone;
    };

    Gateways(Store &store, Record &record, std::vector<Machine> machines);
    ~Gateways();

    int count() const { return static_cast<int>(machines_.size()); }
    const std::string &name(int machine) const { return machines_[machine].name; }
    std::string front(int machine) const { return address(machine, port_); }
    std::string directory(int machine) const { return address(machine, port_ + 1); }
    std::string ready(int machine) const { return address(machine, port_ + 2); }

    /** Waits until all say that they are ready. @returns false if they do not within 10 s */
    bool awaitReady();
    bool isReady(int machine) const;

    void signal(int machine, int number);

    /** Whether the process has ended by itself. */
    bool ended(int machine);

private:
    std::string address(int machine, int port) const;
    void start(int machine);

    Store &store_;
    Record &record_;
    std::vector<Machine> machines_;
    std::vector<pid_t> pids_;
    std::string folder_;
    int port_;
};

/** Machines of a small deployment: 3, 3 and 2 in three zones. */
std::vector<Gateways::Machine> smallDeployment(const std::string &region = "cascadia");

struct RouteOptions
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
};

/** A configuration with two tenants, whose keys are key-a and key-b, and more keys of tenant-a. */
std::string config(int version, const std::vector<RouteOptions> &routes,
                   const std::vector<std::string> &moreKeys = {});

/** A proper request of a client. */
Request clientRequest(const std::string &method, const std::string &target,
                      const std::string &attempt, const std::string &key);

/** An attempt id that no other request has. */
std::string newAttempt();

} // namespace review
