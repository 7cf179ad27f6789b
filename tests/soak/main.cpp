#include "Faults.h"
#include "SoakCaller.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <unistd.h>

#include <filesystem>
#include <iostream>
#include <set>

ABSL_FLAG(std::uint64_t, seed, 1, "seed for the faults, their times and the requests");
ABSL_FLAG(int, seconds, 30, "time with faults; start and recovery add about 25 s on top");
ABSL_FLAG(int, processes, 5, "number of gateway processes");
ABSL_FLAG(std::string, faults, "",
          "comma-separated kinds of faults to inject; by default a random selection of all");
ABSL_FLAG(std::string, logs, "",
          "folder for the logs; by default a new one in the temporary folder");

namespace jy::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr int callersPerGateway = 5;

// Time to recover after the last fault, then time in which every request must succeed.
constexpr seconds recoveryBound{12};
constexpr seconds undisturbedTime{8};

// The soak shares the machine with the gateways; a longer stall of its own process counts as a
// disturbance, which excuses late responses.
constexpr milliseconds longestStall{200};

/** Runs one soak and reports its findings. */
class Soak
{
public:
    Soak(EventLoop &loop, const SoakSettings &settings)
        : fleet_(loop, settings, [this](const Finding &finding) { report(finding); })
        , started_(Clock::now())
    { }

    /** @returns the number of findings */
    int run()
    {
        std::cout << "soak seed=" << seed() << " seconds=" << fleet_.settings().duration.count()
                  << " processes=" << fleet_.settings().gateways
                  << " logs=" << fleet_.settings().folder << std::endl;
        if (!fleet_.start())
            report({"START", "not all gateways are ready"});
        startCallers();
        EventLoop::spawn([this] { watch(); });
        EventLoop::sleepFor(seconds(2));
        injectFaults();
        recover();
        stopCallers();
        endGateways();
        const auto &counts = fleet_.ledger.counts();
        std::cout << "soak seed=" << seed() << " findings=" << findings_
                  << " calls=" << counts.calls << " served=" << counts.served
                  << " refused=" << counts.refused << " failed=" << counts.failed
                  << " runs=" << counts.runs << " stalls=" << stalls_ << std::endl;
        return findings_;
    }

private:
    std::uint64_t seed() const { return fleet_.settings().seed; }

    void report(const Finding &finding)
    {
        ++findings_;
        line("finding rule=" + std::string(finding.rule) + ' ' + finding.text);
    }

    void line(const std::string &text) const
    {
        const auto at = std::chrono::duration_cast<milliseconds>(Clock::now() - started_);
        std::cout << "at=" << at.count() << "ms seed=" << seed() << ' ' << text << std::endl;
    }

    void startCallers()
    {
        const int count = callersPerGateway * fleet_.settings().gateways;
        for (int i = 0; i < count; ++i) {
            ++running_;
            EventLoop::spawn([this, i] {
                SoakCaller(fleet_, i + 1).run(stopped_);
                --running_;
            });
        }
    }

    /** Detects gateways that exit unexpectedly and stalls of this process. */
    void watch()
    {
        constexpr milliseconds period{50};
        ++running_;
        while (!stopped_) {
            const auto before = Clock::now();
            EventLoop::sleepFor(period);
            if (Clock::now() - before > period + longestStall) {
                ++stalls_;
                line("stall of the soak itself");
                const auto number = fleet_.disturbances.begin("store", Origin::Fault, before);
                fleet_.disturbances.end(number, Clock::now());
            }
            fleet_.watch();
        }
        --running_;
    }

    void injectFaults()
    {
        FaultDraw draw(fleet_, seed());
        const auto kinds = chooseKinds(draw);
        const auto end = Clock::now() + fleet_.settings().duration;
        constexpr int maxSeries = 3;
        int activeSeries = draw.number(1, maxSeries);
        for (int series = activeSeries; series > 0; --series) {
            EventLoop::spawn([this, &kinds, &activeSeries, end, series] {
                FaultDraw own(fleet_, seed() * 100 + static_cast<std::uint64_t>(series));
                while (Clock::now() < end) {
                    EventLoop::sleepFor(own.time(50, 3000));
                    const auto &kind = kinds[static_cast<std::size_t>(
                        own.number(0, static_cast<int>(kinds.size()) - 1))];
                    line("fault " + std::string(kind.name));
                    kind.inject(own);
                }
                --activeSeries;
            });
        }
        while (activeSeries > 0)
            EventLoop::sleepFor(milliseconds(50));
    }

    /** Leaves some kinds out of each soak, so that the others coincide more often. */
    std::vector<FaultKind> chooseKinds(FaultDraw &draw)
    {
        const auto wanted = absl::GetFlag(FLAGS_faults);
        std::vector<FaultKind> kinds;
        for (const auto &kind : faultKinds()) {
            const bool drawn = draw.coin();
            if (wanted.empty() ? drawn
                               : (',' + wanted + ',').find(',' + std::string(kind.name) + ',')
                        != std::string::npos)
                kinds.push_back(kind);
        }
        if (kinds.empty())
            kinds.push_back(faultKinds().front());
        return kinds;
    }

    void recover()
    {
        fleet_.endAllFaults();
        line("faults over");
        const auto deadline = Clock::now() + recoveryBound;
        while (!fleet_.allReady() && Clock::now() < deadline)
            EventLoop::sleepFor(milliseconds(100));
        if (!fleet_.allReady())
            report({"RECOVER", "not all gateways are ready again"});
        EventLoop::sleepFor(undisturbedTime);
    }

    void stopCallers()
    {
        stopped_ = true;
        while (running_ > 0)
            EventLoop::sleepFor(milliseconds(20));
    }

    void endGateways()
    {
        for (auto &gateway : fleet_.gateways) {
            gateway.ending = true;
            gateway.process->terminate();
        }
        for (auto &gateway : fleet_.gateways) {
            const auto code = gateway.process->waitForExit(recoveryBound);
            if (code != 0)
                report({"ENDED",
                        gateway.place().id + " ended with "
                            + (code ? std::to_string(*code) : "no exit code in time")});
        }
    }

    SoakFleet fleet_;
    TimePoint started_;
    int findings_ = 0;
    int stalls_ = 0;
    int running_ = 0;
    bool stopped_ = false;
};

int runSoak(const SoakSettings &settings)
{
    EventLoop loop;
    int findings = 0;
    loop.run([&] { findings = Soak(loop, settings).run(); });
    return findings;
}

} // namespace

} // namespace jy::soak

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Injects faults into a fleet of gateways and checks what callers "
                                 "and backend servers see. Exits 1 on any finding.");
    absl::ParseCommandLine(argc, argv);
    jy::soak::SoakSettings settings;
    settings.seed = absl::GetFlag(FLAGS_seed);
    settings.duration = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    settings.gateways = absl::GetFlag(FLAGS_processes);
    settings.folder = absl::GetFlag(FLAGS_logs);
    if (settings.folder.empty())
        settings.folder = std::filesystem::temp_directory_path()
            / ("jysoak-" + std::to_string(settings.seed) + '-' + std::to_string(::getpid()));
    std::filesystem::create_directories(settings.folder);
    const int findings = jy::soak::runSoak(settings);
    if (findings == 0)
        std::filesystem::remove_all(settings.folder);
    // Fibers of links and servers still use the loop, so the process exits without destructors.
    std::cout.flush();
    std::_Exit(findings == 0 ? 0 : 1);
}
