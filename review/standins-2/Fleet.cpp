#include "Fleet.h"

#include <boost/json.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;

namespace {

// limits.max_fds of a machine.
constexpr rlim_t maxDescriptors = 4100;

// Each route has this host.
constexpr const char *host = "ficu95.example";

} // namespace

Record::Record(const std::string &file)
    : file_(std::fopen(file.c_str(), "w"))
    , start_(Clock::now())
{
    if (!file_)
        throw std::runtime_error("cannot write " + file);
}

Record::~Record()
{
    std::fclose(file_);
}

void Record::note(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f s  %s\n", now(), text.c_str());
}

double Record::seconds(Clock::time_point time) const
{
    return std::chrono::duration<double>(time - start_).count();
}

bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

Replica::Replica(Store &store, Record &record, Options options)
    : store_(store)
    , record_(record)
    , options_(std::move(options))
    , born_(std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count())
    , server_(std::make_unique<Server>(
          "127.0.0.1", 0, [this](const Request &request, int) { return serve(request); }))
{
    store_.put("servers/" + options_.id, entry("ready"));
}

Replica::~Replica()
{
    exit();
}

std::string Replica::entry(const std::string &state)
{
    return json::serialize(json::object{{"service", options_.service},
                                        {"address", address()},
                                        {"zone", options_.zone},
                                        {"version", "v1"},
                                        {"slots", options_.slots},
                                        {"state", state},
                                        {"cold_left_ms", 0},
                                        {"born", born_},
                                        {"sequence", ++sequence_}});
}

Clock::time_point Replica::drain()
{
    const auto time = store_.put("servers/" + options_.id, entry("draining"));
    record_.note("replica " + options_.id + ": draining, acknowledged");
    return time;
}

Clock::time_point Replica::leaveUnannounced()
{
    const auto time = store_.remove("servers/" + options_.id);
    record_.note("replica " + options_.id + ": entry removed, acknowledged");
    return time;
}

void Replica::exit()
{
    if (exited_.exchange(true))
        return;
    record_.note("replica " + options_.id + ": exits");
    server_->stop();
}

std::vector<Run> Replica::runs() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

Response Replica::serve(const Request &request)
{
    const auto arrived = Clock::now();
    const auto attempt = request.header("Jacinthyoke-Attempt-Id");
    if (request.path() == "/health")
        return {200, {{"Jacinthyoke-Replica-Id", options_.id}}, ""};
    const auto expected = request.header("Jacinthyoke-Expect-Replica");
    if (!expected.empty() && expected != options_.id)
        return {421,
                {{"Jacinthyoke-Replica-Id", options_.id},
                 {"Jacinthyoke-Attempt-Id", attempt},
                 {"Jacinthyoke-Not-Executed", "1"}},
                ""};
    if (attempt.empty())
        return {400, {{"Jacinthyoke-Not-Executed", "1"}}, ""};
    const auto tenant = request.header("Jacinthyoke-Tenant");
    {
        const std::lock_guard lock(mutex_);
        runs_.push_back({options_.id, attempt, tenant, request.headers, arrived});
    }
    record_.note("run " + attempt + " at " + options_.id + " of " + options_.service + ", tenant '"
                 + tenant + "'");
    std::this_thread::sleep_for(options_.work);
    return {200,
            {{"Jacinthyoke-Attempt-Id", attempt},
             {"Jacinthyoke-Replica-Seal", "seal." + options_.id + '.' + attempt}},
            "ran " + attempt + " at " + options_.id};
}

Gateways::Gateways(Store &store, Record &record, std::vector<Machine> machines)
    : store_(store)
    , record_(record)
    , machines_(std::move(machines))
    , pids_(machines_.size(), -1)
    , folder_((std::filesystem::temp_directory_path() / "jy-review-XXXXXX").string())
    , port_(0)
{
    if (!::mkdtemp(folder_.data()))
        throw std::runtime_error("no temporary folder");
    // Ports are the same on all machines: front, directory, ready, control, peer and metrics.
    do
        port_ = freePort(count());
    while ([&] {
        for (int i = 1; i < 6; ++i) {
            if (freePort(count()) != port_ + i)
                return true;
        }
        return false;
    }());
    for (int machine = 0; machine < count(); ++machine)
        start(machine);
}

Gateways::~Gateways()
{
    for (const auto pid : pids_) {
        if (pid <= 0)
            continue;
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    std::error_code ignored;
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(folder_, ignored);
}

std::string Gateways::address(int machine, int port) const
{
    return "127.0.1." + std::to_string(machine + 1) + ':' + std::to_string(port);
}

void Gateways::start(int machine)
{
    json::array seeds;
    for (int seed = 0; seed < std::min(count(), 3); ++seed)
        seeds.emplace_back(address(seed, port_ + 3));
    // As deploy/gateway-settings.json.in is filled in for a machine of a small deployment.
    const json::object settings{
        {"instance",
         {{"id", machines_[machine].name},
          {"domain", machines_[machine].zone},
          {"region", "cascadia"}}},
        {"listen",
         {{"caller", front(machine)},
          {"directory", directory(machine)},
          {"readiness", ready(machine)},
          {"control", address(machine, port_ + 3)},
          {"peer", address(machine, port_ + 4)},
          {"metrics", address(machine, port_ + 5)}}},
        {"store", store_.address(machine)},
        {"seeds", seeds},
        {"bounds", {{"graceSeconds", 8}, {"serverHeartbeatMs", 1200}, {"retrySlack", 56}}},
        {"admission", {{"enabled", true}}},
        {"limits",
         {{"processorShare", 0.25}, {"cores", 1}, {"memoryMb", 260}, {"linkMbps", 1000.0}}}};
    const auto base = folder_ + '/' + machines_[machine].name;
    std::ofstream(base + ".conf") << json::serialize(settings);
    const auto argument = "--settings=" + base + ".conf";
    const auto log = base + ".log";
    const auto parent = ::getpid();
    const auto pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(127);
        const rlimit descriptors{maxDescriptors, maxDescriptors};
        ::setrlimit(RLIMIT_NOFILE, &descriptors);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl("target/bin/jygateway", "target/bin/jygateway", argument.c_str(), nullptr);
        ::_exit(127);
    }
    pids_[machine] = pid;
}

bool Gateways::isReady(int machine) const
{
    Connection connection(ready(machine));
    const auto response = connection.send(
        {"GET", "/jacinthyoke/readiness", {{"Host", "ready"}, {"Connection", "close"}}, ""},
        milliseconds(1000));
    return response && response->status == 200;
}

bool Gateways::awaitReady()
{
    const auto end = Clock::now() + std::chrono::seconds(10);
    for (int machine = 0; machine < count();) {
        if (isReady(machine))
            ++machine;
        else if (Clock::now() > end)
            return false;
        else
            std::this_thread::sleep_for(milliseconds(50));
    }
    record_.note("all gateways are ready");
    return true;
}

void Gateways::signal(int machine, int number)
{
    const std::string name = number == SIGKILL ? "SIGKILL"
        : number == SIGSTOP                    ? "SIGSTOP"
        : number == SIGCONT                    ? "SIGCONT"
                                               : std::to_string(number);
    record_.note("gateway " + machines_[machine].name + ": " + name);
    ::kill(pids_[machine], number);
    if (number == SIGKILL) {
        ::waitpid(pids_[machine], nullptr, 0);
        pids_[machine] = -1;
    }
}

bool Gateways::ended(int machine)
{
    return pids_[machine] > 0 && ::waitpid(pids_[machine], nullptr, WNOHANG) == pids_[machine];
}

std::vector<Gateways::Machine> smallDeployment(const std::string &region)
{
    std::vector<Gateways::Machine> machines;
    for (const auto &[zone, machinesOfZone] : std::vector<std::pair<std::string, int>>{
             {region + "-a", 3}, {region + "-b", 3}, {region + "-c", 2}}) {
        for (int i = 1; i <= machinesOfZone; ++i)
            machines.push_back({"front-" + zone + '-' + std::to_string(i), zone});
    }
    return machines;
}

std::string config(int version, const std::vector<RouteOptions> &routes,
                   const std::vector<std::string> &moreKeys)
{
    json::array list;
    json::array services;
    std::set<std::string> named;
    for (const auto &route : routes) {
        list.push_back(json::object{{"name", route.name},
                                    {"host", host},
                                    {"prefix", route.prefix},
                                    {"route_kind", route.kind},
                                    {"timeout_ms", 3000},
                                    {"target_latency_ms", 300},
                                    {"priority", 2},
                                    {"service", route.service},
                                    {"max_attempts", 2},
                                    {"public", false},
                                    {"sticky", false},
                                    {"stream_resume", false}});
        if (named.insert(route.service).second)
            services.push_back(json::object{{"name", route.service},
                                            {"health_path", "/health"},
                                            {"max_connections", 110},
                                            {"protocol", "h1"},
                                            {"tls", false},
                                            {"cold_start_s", 0.0},
                                            {"cold_per_s", 0.0}});
    }
    json::array keysOfA{"key-a"};
    for (const auto &key : moreKeys)
        keysOfA.emplace_back(key);
    return json::serialize(json::object{{"version", version},
                                        {"routes", list},
                                        {"services", services},
                                        {"limits",
                                         {{"max_header_bytes", 16384},
                                          {"max_body_bytes", 4194304},
                                          {"header_timeout_ms", 3000},
                                          {"idle_timeout_ms", 15000}}},
                                        {"tenants",
                                         {{{"name", "tenant-a"}, {"api_keys", keysOfA}},
                                          {{"name", "tenant-b"}, {"api_keys", {"key-b"}}}}}});
}

Request clientRequest(const std::string &method, const std::string &target,
                      const std::string &attempt, const std::string &key)
{
    Request request{method, target, {}, method == "POST" ? "booking" : ""};
    request.headers = {{"Host", host},
                       {"Jacinthyoke-Attempt-Id", attempt},
                       {"Jacinthyoke-Deadline-Ms", "3000"},
                       {"Jacinthyoke-Credential", key}};
    return request;
}

std::string newAttempt()
{
    static std::atomic<int> next{0};
    char text[24];
    std::snprintf(text, sizeof text, "a%015x", ++next);
    return text;
}

} // namespace review
